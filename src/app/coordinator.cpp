#include "app/coordinator.h"

#include <spdlog/spdlog.h>

#include <charconv>

#include "app/fleet_instances.h"
#include "coordination/etcd_store.h"
#include "coordination/sqlite_store.h"

namespace inference_router::app {

using namespace coordination;
using control::Service;

namespace {

static_assert(control::kLongestPlanLine >= Plan::kMaxInstances * (Plan::kMaxWordBytes + 1));
constexpr int kTries = 3;       // to write an operator's word, if others write at the same moment
constexpr double kTurnMs = 20;  // between looks whether all is let go of
constexpr std::size_t kBeats =
    6;  // that a router speaks within the time after which it counts as silent

std::unique_ptr<Store> storeOf(Server& server, const Setup& setup) {
  if (!setup.etcd)
    return std::make_unique<SqliteStore>(server.io, setup.sqlitePath);
  auto store = std::make_unique<EtcdStore>(server.io, server.clock, server.timers, server.counters,
                                           *setup.etcd);
  store->accountTo(server.descriptorBudget);
  return store;
}

std::optional<double> secondsIn(const std::string& text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || !(value >= 0 && value <= 86'400))
    return {};
  return value;
}

std::vector<std::string> listIn(const std::string& text) {
  std::vector<std::string> words;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t to = std::min(text.find(',', from), text.size());
    words.push_back(text.substr(from, to - from));
    from = to + 1;
  }
  return words;
}

// start ID BOX[,BOX...] [hold=S] [confirm] [by=WHO] [rev=N], and so on. Throws
// std::invalid_argument.
PlanCommand commandOf(const std::vector<std::string>& words) {
  const std::map<std::string, PlanCommand::Kind> kinds{{"start", PlanCommand::Kind::kStart},
                                                       {"pause", PlanCommand::Kind::kPause},
                                                       {"resume", PlanCommand::Kind::kResume},
                                                       {"cancel", PlanCommand::Kind::kCancel},
                                                       {"back", PlanCommand::Kind::kBack}};
  const auto kind = kinds.find(words.front());
  if (kind == kinds.end())
    throw std::invalid_argument(
        "maintenance takes show, start, pause, resume, cancel or back, not " + words.front());
  PlanCommand command;
  command.kind = kind->second;
  command.by = "operator";
  std::vector<std::string> plain;
  for (std::size_t i = 1; i < words.size(); ++i) {
    const std::string& word = words[i];
    if (word.rfind("hold=", 0) == 0) {
      const auto seconds = secondsIn(word.substr(5));
      if (!seconds)
        throw std::invalid_argument("hold is a number of seconds from 0 to 86400");
      command.holdMs = *seconds * 1000;
    } else if (word.rfind("by=", 0) == 0) {
      command.by = word.substr(3);
    } else if (word.rfind("rev=", 0) == 0) {
      std::uint64_t number = 0;
      const auto [end, fault] = std::from_chars(word.data() + 4, word.data() + word.size(), number);
      if (fault != std::errc() || end != word.data() + word.size())
        throw std::invalid_argument("rev is a whole number");
      command.expectedRevision = number;
    } else if (word == "confirm") {
      command.confirm = true;
    } else {
      plain.push_back(word);
    }
  }
  const std::size_t wanted =
      command.kind == PlanCommand::Kind::kStart ? 2 : command.kind == PlanCommand::Kind::kBack;
  if (plain.size() != wanted)
    throw std::invalid_argument(wanted == 2
                                    ? "start takes an id and boxes, as in: start june box-1,box-2"
                                : wanted == 1 ? "back takes one box"
                                              : words.front() + " takes nothing more");
  if (wanted == 2)
    command.id = plain[0];
  if (wanted > 0)
    command.instances = listIn(plain[wanted - 1]);
  return command;
}

}  // namespace

Coordinator::Run::Run(Coordinator& owner, Setup given)
    : setup(std::move(given)),
      store(storeOf(owner.server_, setup)),
      runner({*store, owner.server_.clock, owner.server_.timers, owner.server_.counters},
             owner.who_,
             owner.seed_,
             setup.lease,
             setup.pollIntervalMs) {
  runner.add(
      std::make_unique<Maintenance>(setup.maintenance, [&owner] { return owner.instances(); }));
  runner.add(std::make_unique<Cleanup>(setup.cleanup));
  if (owner.sharedState_ == nullptr)
    return;
  runner.add(owner.sharedState_->task(setup.lease.maxStepMs));
  // With a digest to go by, nobody but holders needs to read what all others say.
  runner.readOnly([&owner] {
    std::vector<std::string> keys = owner.sharedState_->keys();
    keys.insert(keys.end(), {kPlanKey, kNodePrefix + owner.who_.name});
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
      who_{setup.name, freshNumber()},
      seed_(who_.incarnation),
      presence_(who_, setup.maintenance.silentNodeMs / kBeats) {
  begin(std::move(setup));
}

Coordinator::~Coordinator() {
  *alive_ = false;
  if (sharedState_ != nullptr)
    sharedState_->carriedBy(nullptr);
  server_.timers.cancel(turn_);
}

void Coordinator::begin(Setup setup) {
  if (sharedState_ != nullptr)
    sharedState_->carriedBy(nullptr);
  run_ = nullptr;
  presence_ = PresencePublisher(who_, setup.maintenance.silentNodeMs / kBeats);
  run_ = std::make_unique<Run>(*this, std::move(setup));
  spdlog::info("coordination: {} is {} in {}", who_.name, who_.incarnation,
               run_->store->describe());
  run_->runner.onView([this](const View& view, bool whole) { saw(view, whole); });
  if (sharedState_ != nullptr)
    sharedState_->carriedBy([this](Write write, std::function<void(CommitResponse)> answer) {
      run_->store->write(std::move(write), std::move(answer));
    });
  if (resigned_)
    run_->runner.resign();
  run_->runner.start();
}

void Coordinator::reconfigure(Setup fresh) {
  if (fresh.name != who_.name) {
    spdlog::warn("SIGHUP: coordination.name changes with the next start only");
    fresh.name = who_.name;
  }
  if (fresh.text == run_->setup.text && !coming_)
    return;
  coming_ = std::move(fresh);
  run_->runner.resign();
  if (turn_)
    return;
  const auto turn = [this](const auto& again) -> void {
    turn_.reset();
    if (run_->runner.fullyReleased())
      return begin(*std::exchange(coming_, std::nullopt));
    turn_ = server_.timers.add(server_.clock.nowMs() + kTurnMs, [again] { again(again); });
  };
  turn_ = server_.timers.add(server_.clock.nowMs(), [turn] { turn(turn); });
}

void Coordinator::resign() {
  resigned_ = true;
  if (sharedState_ != nullptr)
    sharedState_->leave(true);
  run_->runner.resign();
}

void Coordinator::again() {
  resigned_ = false;
  if (sharedState_ != nullptr)
    sharedState_->leave(false);
  if (!presence_.nameConflict())
    run_->runner.rejoin();
}

bool Coordinator::out() const {
  return run_->runner.fullyReleased();
}

void Coordinator::saw(const View& view, bool whole) {
  presence_.onRead(view.documents, server_.clock.nowMs());
  if (presence_.nameConflict() && !std::exchange(saidRival_, true)) {
    spdlog::error(
        "coordination: another conductor has the name {}; this one holds no leases any more",
        who_.name);
    ++server_.counters["coordination.rivalled"];
    run_->runner.resign();
  }
  std::size_t nodes = 0;
  for (const auto& [key, document] : view.documents)
    nodes += key.rfind(kNodePrefix, 0) == 0;
  if (!whole)
    nodes = sharedState_->nodes();
  run_->runner.setCandidateCount(std::max<std::size_t>(1, nodes));
  if (sharedState_ != nullptr)
    sharedState_->saw(view);
  apply(view);
  speak();
}

// The drains that the plan says. Without a word from the store the last ones stay; and a plan whose
// steps are behind those that were carried out comes from a store that went back, or from nobody
// who may write it.
void Coordinator::apply(const View& view) {
  const auto stored = view.documents.find(kPlanKey);
  auto plan = stored == view.documents.end() ? std::nullopt : Plan::parse(stored->second.value);
  if (stored != view.documents.end() && !plan) {
    ++server_.counters["coordination.unreadable"];
    return;
  }
  const bool behind = plan && plan_ && plan->id == plan_->id &&
                      (plan->steps < plan_->steps || plan->fence < plan_->fence);
  if (behind) {
    ++server_.counters["coordination.behind"];
    if (!std::exchange(saidBack_, true))
      spdlog::error(
          "coordination: plan {} is at step {}, and step {} was carried out; it is not followed",
          plan->id, plan->steps, plan_->steps);
    return;
  }
  saidBack_ = false;
  plan_ = std::move(plan);
  const std::set<std::string> drained =
      plan_ && !plan_->over() ? plan_->drained() : std::set<std::string>();
  const auto news = server_.membership.setPlannedDrains(drained, server_.clock.nowMs());
  if (!news)
    return;
  for (const routing::EndpointRecord& entry : news->entries) {
    const bool out = drained.count(entry.instance.value) != 0;
    spdlog::info("maintenance: box {} is {}", entry.instance.value, out ? "drained" : "back");
    const upstream::InstanceEndpoint* instance = server_.directory.find(entry.instance);
    if (!out && instance != nullptr)
      server_.pool.dropIdle(instance->address);
  }
  server_.dispatcher.list(*news);
}

void Coordinator::speak() {
  Presence now;
  if (plan_) {
    now.plan = plan_->id;
    now.steps = plan_->steps;
    for (const std::string& instance : plan_->drained())
      if (const std::size_t open = server_.dispatcher.openAt({instance}); open > 0)
        now.open[instance] = open;
  }
  const auto write = presence_.nextWrite(now, server_.clock.nowMs());
  if (!write)
    return;
  run_->store->write(*write, [this, alive = alive_](CommitResponse answer) {
    if (*alive)
      presence_.onWritten(answer, server_.clock.nowMs());
  });
}

FleetInstances Coordinator::instances() const {
  return fleetInstances(server_.membership, site_.settings);
}

std::string Coordinator::plan() const {
  if (!run_->runner.storeReadable() && !plan_)
    return "plan unknown: the store is not read\n";
  if (!plan_)
    return "plan none\n";
  const auto stored = run_->runner.view().documents.find(kPlanKey);
  std::string text =
      fmt::format("plan {} state={} by={} revision={} steps={} fence={}{}\n", plan_->id,
                  coordination::nameOf(plan_->state), plan_->by,
                  stored == run_->runner.view().documents.end() ? 0 : stored->second.revision,
                  plan_->steps, plan_->fence, run_->runner.storeReadable() ? "" : " as last heard");
  for (const PlanItem& item : plan_->items)
    text += fmt::format("item {} {} at_step={} why=\"{}\"\n", item.instance,
                        coordination::nameOf(item.state), item.changed, item.why);
  return text;
}

void Coordinator::maintenance(const std::vector<std::string>& words,
                              std::function<void(Service::Done)> reply) {
  try {
    command(commandOf(words), kTries, std::move(reply));
  } catch (const std::invalid_argument& fault) {
    reply({false, fault.what()});
  }
}

// Decided on what the store has now, not on what was read some time ago.
void Coordinator::command(PlanCommand asked, int tries, std::function<void(Service::Done)> reply) {
  run_->store->readAll([this, alive = alive_, asked, tries, reply](const ReadResponse& all) {
    if (!*alive)
      return;
    if (!all.ok)
      return reply({false, "the store cannot be read: " + all.error});
    const PlanDecision answer = decide(asked, {all.documents, all.revision, server_.clock.nowMs()},
                                       instances(), core::unixNowMs());
    if (!answer.error.empty())
      return reply({false, answer.error});
    if (!answer.write)
      return reply({true, answer.confirmation});
    run_->store->write(*answer.write, [this, alive = alive_, asked, tries, reply,
                                       answer](CommitResponse done) {
      if (!*alive)
        return;
      if (done.status == CommitStatus::kDone) {
        spdlog::info("maintenance: {} says: {}", asked.by, answer.confirmation);
        run_->runner.refresh();
        return reply({true, answer.confirmation + ", revision " + std::to_string(done.revision)});
      }
      if (done.status == CommitStatus::kConflict && tries > 1)
        return command(asked, tries - 1, reply);
      reply({false, done.status == CommitStatus::kConflict
                        ? "others write at the same time: look and say it again"
                    : done.status == CommitStatus::kRefused
                        ? "the store takes no such plan"
                        : "the store did not answer: it may be written or not, look with "
                          "`maintenance show`"});
    });
  });
}

}  // namespace inference_router::app
