#include "app/shared_state_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "app/fleet_instances.h"

namespace inference_router::app {

using namespace shared;
using routing::AttemptOutcome;

namespace {

constexpr double kTickIntervalMs = 50;
// What a client is told to wait before it retries: until the router may have got another loan, and
// at least until a new period.
constexpr double kLoanRetryMs = 2'000;
constexpr double kMinPeriodRetryMs = 1'000;

}  // namespace

SharedStateService::SharedStateService(Server& server,
                                       const routing::wire::Setup& site,
                                       SharedSetup setup,
                                       const std::string& name)
    : server_(server),
      site_(site),
      setup_(std::move(setup)),
      node_(setup_.config, name, randomIncarnation, server.clock.nowMs()) {
  server_.dispatcher.onEvent([this](const routing::Event& event) { recordOutcome(event); });
  tick();
}

void SharedStateService::reconfigure(SharedSetup setup) {
  setup_ = std::move(setup);
  node_.reconfigure(setup_.config);
}

std::unique_ptr<coordination::FleetTask> SharedStateService::makeDigestTask(double maxStepMs) {
  auto task = std::make_unique<DigestTask>(
      coordination::TaskConfig{"digest", setup_.config.digestMs, maxStepMs, /*quiet=*/true},
      [this] { return setup_.config; }, [] { return core::unixNowMs(); });
  digestTask_ = task.get();
  return task;
}

// ---- Exchange with the store ----

void SharedStateService::readView(const coordination::View& view) {
  node_.onRead(view.documents, view.readMs, server_.clock.nowMs());
}

void SharedStateService::tick() {
  writeReport();
  updateExclusions();
  shareLimits();
  observe();
  timer_ = server_.timers.schedule(server_.clock.nowMs() + kTickIntervalMs, [this] { tick(); });
}

void SharedStateService::writeReport() {
  if (!writer_)
    return;
  const auto write = node_.nextReport(core::unixNowMs(), server_.clock.nowMs());
  if (!write)
    return;
  writer_(*write, guard_.wrap([this](const coordination::CommitResponse& answer) {
    node_.onWritten(answer, server_.clock.nowMs());
  }));
}

// ---- Instances ----

// Records the result of an attempt. Rejections and cancellations say nothing of the instance's
// health.
void SharedStateService::recordOutcome(const routing::Event& event) {
  const double now = server_.clock.nowMs();
  if (const auto* opened = std::get_if<routing::StreamOpened>(&event))
    return node_.observations().recordSuccess(opened->instance.value, now);
  const auto* ended = std::get_if<routing::AttemptEnded>(&event);
  if (ended == nullptr)
    return;
  const std::string& instance = ended->instance.value;
  switch (ended->outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kPrefilled:
      return node_.observations().recordSuccess(instance, now);
    case AttemptOutcome::kError:
    case AttemptOutcome::kConnectionLost:
      return node_.observations().recordFailure(instance, FailureKind::kError, now);
    case AttemptOutcome::kConnectFailed:
      return node_.observations().recordFailure(instance, FailureKind::kConnectionRefused, now);
    case AttemptOutcome::kTimeout:
      return node_.observations().recordFailure(instance, FailureKind::kTimeout, now);
    // Cancelled because it was silent, not because its client is gone or was refused.
    case AttemptOutcome::kCancelled:
      if (!ended->concluded && server_.dispatcher.isEjectedOrSilent(ended->instance))
        node_.observations().recordFailure(instance, FailureKind::kTimeout, now);
      return;
    default:
      return;
  }
}

std::map<std::string, KnownInstance> SharedStateService::instances() const {
  auto instances = fleetInstances(server_.membership, site_.settings);
  for (const std::string& id : server_.membership.drained())
    if (const auto instance = instances.find(id); instance != instances.end())
      instance->second.serves = false;
  return instances;
}

// Takes out of use what the other routers saw fail, and back what they saw recover.
void SharedStateService::updateExclusions() {
  const double now = server_.clock.nowMs();
  const auto instances =
      setup_.peerExclusions ? this->instances() : std::map<std::string, KnownInstance>();
  std::set<std::string> listed;
  for (const auto& [id, instance] : instances)
    listed.insert(id);
  node_.observations().prune(listed, now);
  Availabilities availabilities = node_.availabilities(instances, now);
  logChanges(availabilities);
  availabilities_ = std::move(availabilities);
  std::set<std::string> excluded;
  for (const auto& [id, availability] : availabilities_)
    if (availability == Availability::kExcluded)
      excluded.insert(id);
  applyExclusions(excluded);
}

void SharedStateService::logChanges(const Availabilities& availabilities) const {
  for (const auto& [id, availability] : availabilities) {
    const auto before = availabilities_.find(id);
    const Availability was =
        before == availabilities_.end() ? Availability::kInUse : before->second;
    if (was == availability)
      continue;
    const bool isProbe = was == Availability::kProbing || availability == Availability::kProbing;
    spdlog::log(isProbe ? spdlog::level::debug : spdlog::level::info,
                "shared box={} standing={} was={}", id, nameOf(availability), nameOf(was));
  }
}

void SharedStateService::applyExclusions(const std::set<std::string>& excluded) {
  const auto update = server_.membership.setPeerExclusions(excluded, server_.clock.nowMs());
  if (!update)
    return;
  for (const routing::EndpointRecord& entry : update->entries) {
    const upstream::InstanceEndpoint* endpoint = server_.directory.find(entry.instance);
    if (excluded.count(entry.instance.value) == 0 && endpoint != nullptr)
      server_.pool.dropIdle(endpoint->address);
  }
  server_.dispatcher.list(*update);
}

// Fleet-wide limits of the decision module, such as the budget of a cold instance, are split among
// the live routers. An isolated router keeps the last number that it knew.
void SharedStateService::shareLimits() {
  const double now = server_.clock.nowMs();
  const auto configured = static_cast<std::size_t>(site_.settings.nodes);
  std::size_t nodes = std::max(configured, node_.nodes());
  if (node_.connectivityState(now) != ConnectivityState::kConnected)
    nodes = std::max(nodes, limitsSharedBy_);
  if (nodes == limitsSharedBy_)
    return;
  limitsSharedBy_ = nodes;
  routing::Settings settings = site_.settings;
  settings.nodes = static_cast<int>(nodes);
  server_.dispatcher.reconfigure(settings);
}

// ---- Token budgets ----

std::optional<frontend::BudgetDenied> SharedStateService::reserve(const std::string& tenant,
                                                                  const std::string& cls,
                                                                  std::uint64_t tokens,
                                                                  Reservation& to) {
  const double now = server_.clock.nowMs();
  const TokenBudgets::Answer answer = node_.reserve(tenant, tokens, now);
  to = answer.reservation;
  if (answer.denial == Denial::kNone)
    return std::nullopt;
  ++server_.counters[std::string("shared.denied.") + nameOf(answer.denial)];
  SharedNode::RequestUsage refused;
  refused.outcome = SharedNode::RequestUsage::Outcome::kRefused;
  refused.requestedTokens = tokens;
  node_.settleRequest(tenant, cls, answer.reservation, refused, now);
  return explain(answer.denial, tenant);
}

frontend::BudgetDenied SharedStateService::explain(Denial denial, const std::string& tenant) const {
  const double untilPeriodEndsMs = node_.periodEndsMs() - server_.clock.nowMs();
  switch (denial) {
    case Denial::kUsedUp:
      return {"the token budget of " + tenant + " is used up for this period",
              std::max(kMinPeriodRetryMs, untilPeriodEndsMs)};
    case Denial::kTooLarge:
      return {"the request may need more tokens than the whole budget of " + tenant, 0};
    case Denial::kLoanExpired:
      return {"this conductor does not hear of the token budget of " + tenant, kLoanRetryMs};
    default:
      return {"no tokens of the budget of " + tenant + " are at hand here just now", kLoanRetryMs};
  }
}

void SharedStateService::settle(const std::string& tenant,
                                const std::string& cls,
                                const Reservation& reservation,
                                const SharedNode::RequestUsage& usage) {
  node_.settleRequest(tenant, cls, reservation, usage, server_.clock.nowMs());
}

// ---- Observability ----

void SharedStateService::observe() {
  logConnectivity();
  logFault();
  publishCounters();
}

void SharedStateService::logConnectivity() {
  const double now = server_.clock.nowMs();
  const ConnectivityState state = node_.connectivityState(now);
  if (state != loggedState_)
    spdlog::info("shared degree={} was={} silence_ms={:.0f}", nameOf(state), nameOf(loggedState_),
                 node_.silenceMs(now));
  loggedState_ = state;
}

void SharedStateService::logFault() {
  if (node_.lastError() != loggedFault_ && !node_.lastError().empty())
    spdlog::warn("shared: {}", node_.lastError());
  loggedFault_ = node_.lastError();
}

void SharedStateService::publishCounters() {
  auto& counters = server_.counters;
  const SharedNode::Stats& node = node_.stats();
  counters["shared.words"] = node.reports;
  counters["shared.conflicts"] = node.conflicts;
  counters["shared.folded_away"] = node.evicted;
  counters["shared.digests"] = node.digests;
  counters["shared.went_back"] = node.rollbacks;
  counters["shared.unreadable"] = node.undecodable;
  if (digestTask_ == nullptr)
    return;
  const DigestTask::Stats& digest = digestTask_->stats();
  counters["shared.folded"] = digest.folded;
  counters["shared.restored"] = digest.rollbacks;
  counters["shared.backwards"] = digest.decreasedCounters;
  counters["shared.incredible"] = digest.ignoredWitnesses;
  for (const auto& [flaw, count] : digest.undecodable)
    counters["shared.unread." + flaw] = count;
}

std::string SharedStateService::report(control::ReportFormat format) {
  return sharedStateReport(node_, setup_.config, availabilities_, server_.clock.nowMs(), format);
}

}  // namespace inference_router::app
