#include "app/coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "app/fleet_instances.h"
#include "app/maintenance_command.h"
#include "control/commands.h"
#include "coordination/etcd_store.h"
#include "coordination/sqlite_store.h"

namespace inference_router::app {

using namespace coordination;

namespace {

static_assert(control::kMaxMaintenanceLineBytes >= Plan::kMaxInstances * (Plan::kMaxNameBytes + 1));
// To write a plan, if others write at the same time.
constexpr int kMaxWriteAttempts = 3;
// Between two looks whether all leases are released.
constexpr double kPendingIntervalMs = 20;
// That a router writes its presence within the time after which it counts as silent.
constexpr std::size_t kPresenceWritesPerTimeout = 6;

std::unique_ptr<Store> openStore(Server& server, const Setup& setup) {
  if (!setup.etcd)
    return std::make_unique<SqliteStore>(server.io, setup.sqlitePath);
  auto store = std::make_unique<EtcdStore>(server.io, server.clock, server.timers, server.counters,
                                           *setup.etcd);
  store->accountTo(server.descriptorBudget);
  return store;
}

double presencePeriodMs(const Setup& setup) {
  return setup.maintenance.silentNodeMs / kPresenceWritesPerTimeout;
}

const char* failureOf(CommitStatus outcome) {
  switch (outcome) {
    case CommitStatus::kConflict:
      return "others write at the same time: look and say it again";
    case CommitStatus::kRefused:
      return "the store takes no such plan";
    default:
      return "the store did not answer: it may be written or not, look with `maintenance show`";
  }
}

}  // namespace

Coordinator::Session::Session(Coordinator& owner, Setup config)
    : setup(std::move(config)),
      store(openStore(owner.server_, setup)),
      runner({*store, owner.server_.clock, owner.server_.timers, owner.server_.counters},
             owner.self_,
             owner.seed_,
             setup.lease,
             setup.pollIntervalMs) {
  runner.add(
      std::make_unique<Maintenance>(setup.maintenance, [&owner] { return owner.instances(); }));
  runner.add(std::make_unique<Cleanup>(setup.cleanup));
  if (owner.sharedState_ == nullptr)
    return;
  runner.add(owner.sharedState_->makeDigestTask(setup.lease.maxStepMs));
  // The digest says all that others need to know, so only holders of leases read every document.
  runner.readOnly([&owner] {
    std::vector<std::string> keys = owner.sharedState_->keys();
    keys.insert(keys.end(), {kPlanKey, kNodePrefix + owner.self_.name});
    return keys;
  });
}

Coordinator::Coordinator(Server& server,
                         const routing::wire::Setup& site,
                         Setup setup,
                         SharedStateService* sharedState)
    : server_(server),
      site_(site),
      sharedState_(sharedState),
      self_{setup.name, randomIncarnation()},
      seed_(self_.incarnation),
      presence_(self_, presencePeriodMs(setup)),
      planFollower_(server) {
  beginSession(std::move(setup));
}

Coordinator::~Coordinator() {
  detachSharedState();
}

void Coordinator::detachSharedState() {
  if (sharedState_ != nullptr)
    sharedState_->setWriter(nullptr);
}

void Coordinator::beginSession(Setup setup) {
  detachSharedState();
  session_ = nullptr;
  presence_ = PresencePublisher(self_, presencePeriodMs(setup));
  session_ = std::make_unique<Session>(*this, std::move(setup));
  spdlog::info("coordination: {} is {} in {}", self_.name, self_.incarnation,
               session_->store->describe());
  session_->runner.onView([this](const View& view, bool complete) { onView(view, complete); });
  if (sharedState_ != nullptr)
    sharedState_->setWriter([this](Write write, std::function<void(CommitResponse)> onAnswer) {
      session_->store->write(std::move(write), std::move(onAnswer));
    });
  if (resigned_)
    session_->runner.resign();
  session_->runner.start();
}

void Coordinator::reconfigure(Setup setup) {
  if (setup.name != self_.name) {
    spdlog::warn("SIGHUP: coordination.name changes with the next start only");
    setup.name = self_.name;
  }
  if (setup.text == session_->setup.text && !pendingSetup_)
    return;
  pendingSetup_ = std::move(setup);
  session_->runner.resign();
  if (!pendingTimer_.armed())
    pendingTimer_ =
        server_.timers.schedule(server_.clock.nowMs(), [this] { beginPendingSession(); });
}

void Coordinator::beginPendingSession() {
  if (hasResigned())
    return beginSession(*std::exchange(pendingSetup_, std::nullopt));
  pendingTimer_ = server_.timers.schedule(server_.clock.nowMs() + kPendingIntervalMs,
                                          [this] { beginPendingSession(); });
}

void Coordinator::resign() {
  resigned_ = true;
  if (sharedState_ != nullptr)
    sharedState_->setDraining(true);
  session_->runner.resign();
}

void Coordinator::rejoin() {
  resigned_ = false;
  if (sharedState_ != nullptr)
    sharedState_->setDraining(false);
  if (!presence_.nameConflict())
    session_->runner.rejoin();
}

void Coordinator::onView(const View& view, bool complete) {
  presence_.onRead(view.documents, server_.clock.nowMs());
  resignIfRivalled();
  const auto isNode = [](const auto& entry) { return entry.first.rfind(kNodePrefix, 0) == 0; };
  const auto nodes = complete ? static_cast<std::size_t>(std::count_if(
                                    view.documents.begin(), view.documents.end(), isNode))
                              : sharedState_->nodes();
  session_->runner.setCandidateCount(std::max<std::size_t>(1, nodes));
  if (sharedState_ != nullptr)
    sharedState_->readView(view);
  planFollower_.apply(view);
  writePresence();
}

void Coordinator::resignIfRivalled() {
  if (!presence_.nameConflict() || std::exchange(rivalLogged_, true))
    return;
  spdlog::error(
      "coordination: another conductor has the name {}; this one holds no leases any more",
      self_.name);
  ++server_.counters["coordination.rivalled"];
  session_->runner.resign();
}

void Coordinator::writePresence() {
  Presence presence;
  if (const auto& plan = planFollower_.plan()) {
    presence.plan = plan->id;
    presence.steps = plan->steps;
    for (const std::string& instance : plan->drained())
      if (const std::size_t open = server_.dispatcher.attemptsInFlightAt({instance}); open > 0)
        presence.open[instance] = open;
  }
  const auto write = presence_.nextWrite(presence, server_.clock.nowMs());
  if (!write)
    return;
  session_->store->write(*write, guard_.wrap([this](const CommitResponse& answer) {
    presence_.onWritten(answer, server_.clock.nowMs());
  }));
}

FleetInstances Coordinator::instances() const {
  return fleetInstances(server_.membership, site_.settings);
}

std::string Coordinator::leasesReport(control::ReportFormat format) const {
  return session_->runner.report(format == control::ReportFormat::kJson);
}

std::string Coordinator::maintenanceReport() const {
  return planFollower_.report(session_->runner.view(), session_->runner.storeReadable());
}

void Coordinator::changeMaintenance(const control::Arguments& arguments, ResultHandler onResult) {
  PlanCommand command;
  try {
    command = parseMaintenanceCommand(arguments);
  } catch (const std::invalid_argument& fault) {
    return onResult({.ok = false, .message = fault.what()});
  }
  decide({.command = std::move(command),
          .attemptsLeft = kMaxWriteAttempts,
          .onResult = std::move(onResult)});
}

// On what the store holds now, not on what was read some time ago.
void Coordinator::decide(const PlanChange& change) {
  session_->store->readAll(guard_.wrap([this, change](const ReadResponse& listing) {
    if (!listing.ok)
      return change.onResult(
          {.ok = false, .message = "the store cannot be read: " + listing.error});
    const PlanDecision decision = coordination::decide(
        change.command, {listing.documents, listing.revision, server_.clock.nowMs()}, instances(),
        core::unixNowMs());
    if (!decision.error.empty())
      return change.onResult({.ok = false, .message = decision.error});
    if (!decision.write)
      return change.onResult({.ok = true, .message = decision.confirmation});
    write(change, decision);
  }));
}

void Coordinator::write(const PlanChange& change, const PlanDecision& decision) {
  session_->store->write(
      *decision.write,
      guard_.wrap([this, change, outcome = decision.confirmation](const CommitResponse& answer) {
        onWritten(change, outcome, answer);
      }));
}

void Coordinator::onWritten(const PlanChange& change,
                            const std::string& outcome,
                            const CommitResponse& answer) {
  if (answer.status == CommitStatus::kDone) {
    spdlog::info("maintenance: {} says: {}", change.command.operatorName, outcome);
    session_->runner.refresh();
    return change.onResult(
        {.ok = true, .message = outcome + ", revision " + std::to_string(answer.revision)});
  }
  if (answer.status == CommitStatus::kConflict && change.attemptsLeft > 1) {
    PlanChange retry = change;
    --retry.attemptsLeft;
    return decide(retry);
  }
  change.onResult({.ok = false, .message = failureOf(answer.status)});
}

}  // namespace inference_router::app
