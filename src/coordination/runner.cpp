#include "coordination/runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace inference_router::coordination {

namespace {

constexpr double kStaleReads =
    4;                         // readings that fail or lag before this router counts as not hearing
constexpr double kRestMs = 1;  // between two looks, whatever a machine asks for

}  // namespace

Runner::Runner(Parts parts, Holder who, std::uint64_t seed, LeaseConfig config, double watchMs)
    : parts_(parts),
      who_(std::move(who)),
      seed_(seed),
      config_(std::move(config)),
      watchMs_(watchMs) {}

Runner::~Runner() {
  *alive_ = false;
  parts_.timers.cancel(next_);
}

void Runner::add(std::unique_ptr<FleetTask> task) {
  LeaseConfig config = config_;
  config.task = task->config().name;
  config.longestStepMs = task->config().longestStepMs;
  if (const auto problem = problemWith(config))
    throw std::invalid_argument("task " + config.task + ": " + *problem);
  const std::uint64_t seed = seed_ + std::hash<std::string>()(config.task);
  slots_.push_back(
      std::make_unique<Slot>(Slot{std::move(task), Lease(config, who_, seed, parts_.clock.nowMs()),
                                  0, 0, 0, LeaseState::kCandidate}));
}

void Runner::start() {
  tick();
}

void Runner::candidates(std::size_t count) {
  for (const auto& slot : slots_)
    slot->lease.candidates(count);
}

void Runner::resign() {
  for (const auto& slot : slots_)
    slot->lease.resign(parts_.clock.nowMs());
  schedule();
}

void Runner::again() {
  for (const auto& slot : slots_)
    slot->lease.again(parts_.clock.nowMs());
  schedule();
}

bool Runner::out() const {
  return std::all_of(slots_.begin(), slots_.end(),
                     [](const auto& slot) { return slot->lease.out(); });
}

bool Runner::hears() const {
  return trouble_.empty() &&
         parts_.clock.nowMs() - view_.readMs <= watchMs_ * kStaleReads + config_.askMs;
}

void Runner::tick() {
  const double now = parts_.clock.nowMs();
  if (now >= nextReadMs_)
    read();
  for (const auto& entry : slots_) {
    Slot& slot = *entry;
    if (const auto ask = slot.lease.tick(now)) {
      ++parts_.counters["leases.asked"];
      parts_.store.ask(*ask, [this, alive = alive_, &slot](const LeaseAnswer& answer) {
        if (!*alive)
          return;
        slot.lease.answered(answer, parts_.clock.nowMs());
        follow(slot);
        schedule();
      });
    }
    work(slot);
    follow(slot);
  }
  schedule();
}

// The next step rests on what was read; one that rests on something old is refused by the store,
// and costs a call.
void Runner::work(Slot& slot) {
  const double now = parts_.clock.nowMs();
  if (!slot.lease.withinValidity(now) || now < slot.nextLookMs || !hears())
    return;
  if (!whole_)
    return read();  // it held nothing when it last read
  slot.nextLookMs = now + slot.task->config().periodMs;
  const auto step = slot.task->next(view_, slot.lease.fenceNumber(), now);
  if (!step)
    return slot.lease.idle(now);
  const auto fence = slot.lease.beginStep(now);
  if (!fence)
    return;
  parts_.store.commit(*fence, step->writes,
                      [this, alive = alive_, &slot, step = *step](CommitAnswer answer) {
                        if (*alive)
                          committed(slot, step, answer);
                      });
}

void Runner::committed(Slot& slot, const Step& step, const CommitAnswer& answer) {
  const double now = parts_.clock.nowMs();
  const bool plain = slot.task->config().quiet && answer.how == Committed::kDone;
  spdlog::log(plain ? spdlog::level::debug : spdlog::level::info,
              "step task={} fence={} answer={} revision={} what=\"{}\"", slot.task->config().name,
              slot.lease.fenceNumber(), nameOf(answer.how), answer.revision, step.what);
  if (answer.how == Committed::kStaleFence) {
    ++slot.refusedByFence;
    ++parts_.counters["leases.refused_by_fence"];
    slot.lease.refused(now);
  } else {
    slot.lease.stepEnded(answer.how == Committed::kDone, now);
    if (answer.how == Committed::kDone)
      ++slot.steps, ++parts_.counters["tasks.steps"];
  }
  // Before what was written is read again, the next step would rest on what was there before.
  slot.nextLookMs = now + slot.task->config().periodMs;
  follow(slot);
  refresh();
}

void Runner::read() {
  if (reading_) {
    readAgain_ = true;
    return;
  }
  reading_ = true;
  nextReadMs_ = parts_.clock.nowMs() + watchMs_;
  const double asked = parts_.clock.nowMs();
  const bool whole = !needs_ || holdsAny(asked);
  const auto heard = [this, alive = alive_, asked, whole](const Listing& all) {
    if (!*alive)
      return;
    reading_ = false;
    if (all.ok != trouble_.empty() || all.why != trouble_) {
      if (all.ok)
        spdlog::info("coordination: the store is read again");
      else
        spdlog::warn("coordination: the store cannot be read: {}", all.why);
    }
    trouble_ = all.why;
    ++parts_.counters[all.ok ? "coordination.read" : "coordination.unread"];
    if (all.ok) {
      // A store that was put back to an older state; what was seen stays seen until it has gone on.
      if (all.revision < view_.revision) {
        ++parts_.counters["coordination.went_back"];
        spdlog::error("coordination: the store went back from revision {} to {}", view_.revision,
                      all.revision);
      }
      view_ = {all.docs, all.revision, asked};
      whole_ = whole;
      if (told_)
        told_(view_, whole);
    }
    if (std::exchange(readAgain_, false))
      read();
    schedule();
  };
  if (whole)
    parts_.store.list(heard);
  else
    parts_.store.look(needs_(), heard);
}

bool Runner::holdsAny(double nowMs) const {
  return std::any_of(slots_.begin(), slots_.end(),
                     [nowMs](const auto& slot) { return slot->lease.withinValidity(nowMs); });
}

void Runner::refresh() {
  read();
}

void Runner::schedule() {
  const double now = parts_.clock.nowMs();
  double next = reading_ ? HUGE_VAL : nextReadMs_;
  for (const auto& slot : slots_) {
    next = std::min(next, slot->lease.nextMs());
    if (slot->lease.withinValidity(now))
      next = std::min(next, slot->nextLookMs);
  }
  parts_.timers.cancel(next_);
  if (next == HUGE_VAL)
    next = now + watchMs_;
  next_ = parts_.timers.add(std::max(next, now + kRestMs), [this] {
    next_.reset();
    tick();
  });
}

// One line for each change of a lease, and the counters over all tasks.
void Runner::follow(Slot& slot) {
  if (slot.lease.state() != slot.logged) {
    // Candidates ask all the time; what is said is where the lease changes hands, or might.
    const auto told = [](LeaseState state) {
      return state != LeaseState::kCandidate && state != LeaseState::kAsking &&
             state != LeaseState::kBackingOff;
    };
    if (told(slot.lease.state()) || told(slot.logged))
      spdlog::info("lease task={} state={} fence={} why=\"{}\"", slot.task->config().name,
                   nameOf(slot.lease.state()), slot.lease.fenceNumber(), slot.lease.why());
    slot.logged = slot.lease.state();
  }
  Lease::Counts sum;
  for (const auto& one : slots_) {
    const Lease::Counts& counts = one->lease.counts();
    sum.acquired += counts.acquired;
    sum.renewed += counts.renewed;
    sum.lost += counts.lost;
    sum.gaveWay += counts.gaveWay;
    sum.released += counts.released;
    sum.wentBack += counts.wentBack;
    sum.doubtfulMs += counts.doubtfulMs;
  }
  auto& counters = parts_.counters;
  counters["leases.acquired"] = sum.acquired;
  counters["leases.renewed"] = sum.renewed;
  counters["leases.lost"] = sum.lost;
  counters["leases.gave_way"] = sum.gaveWay;
  counters["leases.released"] = sum.released;
  counters["leases.went_back"] = sum.wentBack;
  counters["leases.doubtful_ms"] = static_cast<std::uint64_t>(sum.doubtfulMs);
}

std::string Runner::report(bool asJson) const {
  const double now = parts_.clock.nowMs();
  nlohmann::json list = nlohmann::json::array();
  std::string text;
  for (const auto& slot : slots_) {
    const Lease& lease = slot->lease;
    const bool own = lease.withinValidity(now);
    const std::string holder = own ? who_.name : lease.seen() ? lease.seen()->holder.name : "-";
    const std::uint64_t fence = own ? lease.fenceNumber() : lease.seen() ? lease.seen()->fence : 0;
    const double heldMs =
        lease.seen() ? lease.seen()->sinceMs : 0;  // Unix time at which its holder got it
    const double held = heldMs > 0 ? std::max(0.0, now - heldMs) / 1000 : 0;
    const double since = (now - lease.sinceMs()) / 1000,
                 renewal = own ? lease.nextRenewalMs() - now : 0;
    list.push_back({{"task", slot->task->config().name},
                    {"state", nameOf(lease.state())},
                    {"holder", holder},
                    {"fence", fence},
                    {"held_s", held},
                    {"since_s", since},
                    {"renewal_in_ms", std::max(0.0, renewal)},
                    {"why", lease.why()},
                    {"steps", slot->steps},
                    {"acquired", lease.counts().acquired},
                    {"renewed", lease.counts().renewed},
                    {"lost", lease.counts().lost},
                    {"refused_by_fence", slot->refusedByFence},
                    {"doubtful_ms", lease.counts().doubtfulMs}});
    text += fmt::format(
        "lease {} state={} holder={} fence={} held_s={:.0f} state_s={:.0f} renewal_in_ms={:.0f} "
        "steps={} "
        "lost={} refused={} "
        "why=\"{}\"\n",
        slot->task->config().name, nameOf(lease.state()), holder, fence, held, since,
        std::max(0.0, renewal), slot->steps, lease.counts().lost, slot->refusedByFence,
        lease.why());
  }
  if (asJson)
    return nlohmann::json{{"conductor", who_.name},
                          {"store", parts_.store.describe()},
                          {"hears", hears()},
                          {"trouble", trouble_},
                          {"leases", list}}
               .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) +
           "\n";
  return "store " + parts_.store.describe() + (hears() ? " read" : " not read: " + trouble_) +
         "\n" + text;
}

}  // namespace inference_router::coordination
