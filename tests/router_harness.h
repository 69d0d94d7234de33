// Test harness for the decision module: a router with a simulated clock and access to its actions.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "inference_router/router.h"

namespace inference_router::routing {

using namespace std::chrono_literals;

// Uses append() because GCC 12 reports a false warning for a literal plus a string (GCC bug
// 105329).
inline std::string numbered(const char* stem, int number) {
  return std::string(stem).append(std::to_string(number));
}

inline Settings plainSettings() {
  Settings settings{};
  settings.classes = {
      {Effect::kIdempotent, DedupScope::kAll, 5s, 1s, 40ms, 60ms, 6s, 0.3, 1.0, true}};
  settings.kinds = {{Role::kPrefill, 200'000}, {Role::kDecode, 100'000}, {Role::kMixed, 150'000}};
  settings.contract = {1s, 8ms, 10s, 0.3, 10s, 3.0, 3s, 500ms};
  settings.limits = {.cancel = true,
                     .gossip = false,
                     .healthChecks = false,
                     .hedgedRequests = false,
                     .retryAfter = true,
                     .maxAttempts = 6,
                     .maxRetryAfter = 2s,
                     .connectTimeout = 250ms};
  settings.discovery = Discovery::kPush;
  settings.reports = LoadReports::kNone;
  settings.reservationsAllowed = true;
  settings.nodes = 1;
  settings.tick = 2ms;
  return settings;
}

// Indices of the kinds in plainSettings().
constexpr std::uint32_t kPrefill = 0;
constexpr std::uint32_t kDecode = 1;
constexpr std::uint32_t kMixed = 2;

inline EndpointRecord endpoint(const std::string& id, std::uint32_t kind, std::uint32_t cell = 0) {
  return {{id}, {0}, {kind}, {cell}, EndpointState::kActive, 1.0, {}};
}

// Feeds events to one router and stores the actions of the latest call.
class RouterHarness {
 public:
  explicit RouterHarness(const Settings& settings = plainSettings(), std::uint64_t seed = 7)
      : settings_(settings), router_(settings, seed) {}

  RouterHarness& updateEndpoints(std::vector<EndpointRecord> entries,
                                 EndpointListForm form = EndpointListForm::kFull) {
    return handle(EndpointListUpdate{++version_, form, std::move(entries)});
  }
  RouterHarness& handle(const Event& event) {
    actions_.clear();
    router_.handle(now_, event, actions_);
    for (const Action& action : actions_) {
      if (const auto* send = std::get_if<DispatchAttempt>(&action))
        ++attempts_[send->request.value];
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now_ + timer->delay, timer->timer);
    }
    return *this;
  }
  RouterHarness& arrive(const std::string& id,
                        const std::string& prefix = "",
                        Duration left = 6s,
                        double tokens = 1000) {
    return handle(arrival(id, prefix, left, tokens));
  }
  static Arrival arrival(const std::string& id,
                         const std::string& prefix = "",
                         Duration left = 6s,
                         double tokens = 1000) {
    return {{id}, {0}, {}, "session-" + id, prefix, left, {}, tokens, 0, 200, false, false};
  }
  RouterHarness& endAttempt(const std::string& id,
                            const std::string& at,
                            AttemptOutcome outcome,
                            Duration took = 50ms,
                            bool concluded = false,
                            bool kvCacheLost = false) {
    return handle(
        AttemptEnded{{id}, attempts_[id] - 1, {at}, outcome, took, concluded, 0, kvCacheLost, {}});
  }
  RouterHarness& openStream(const std::string& id, const std::string& at) {
    return handle(StreamOpened{{id}, attempts_[id] - 1, {at}, 20ms});
  }
  // Advances the clock and fires the timers that are due; collects the actions of all of them.
  RouterHarness& advance(Duration span) {
    const Time until = now_ + span;
    std::vector<Action> all;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, timer] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, at);
      handle(TimerFired{timer});
      all.insert(all.end(), actions_.begin(), actions_.end());
    }
    now_ = until;
    actions_ = all;
    return *this;
  }

  template <class Act>
  std::vector<Act> actionsOf() const {
    std::vector<Act> found;
    for (const Action& action : actions_) {
      if (const auto* act = std::get_if<Act>(&action))
        found.push_back(*act);
    }
    return found;
  }
  template <class Act>
  bool hasAction() const {
    return !actionsOf<Act>().empty();
  }
  std::string sentTo() const {
    const auto sends = actionsOf<DispatchAttempt>();
    return sends.empty() ? "" : sends.back().instance.value;
  }
  std::string reservedAt() const {
    const auto reservations = actionsOf<ReserveDecode>();
    return reservations.empty() ? "" : reservations.back().instance.value;
  }
  // Serves one request without a fault; returns the instance that prefilled it.
  std::string serve(const std::string& id, const std::string& prefix = "") {
    const std::string prefillInstance = arrive(id, prefix).sentTo();
    const std::string decodeInstance =
        advance(50ms).endAttempt(id, prefillInstance, AttemptOutcome::kPrefilled).sentTo();
    advance(20ms)
        .openStream(id, decodeInstance)
        .advance(200ms)
        .endAttempt(id, decodeInstance, AttemptOutcome::kServed, 220ms, true);
    return prefillInstance;
  }
  Time now() const { return now_; }
  bool hasTimer() const { return !timers_.empty(); }
  const std::vector<Action>& actions() const { return actions_; }
  const SlowStartTotals& slowStartTotals() const { return router_.slowStartTotals(); }

 private:
  Settings settings_;
  Router router_;
  Time now_{10s};
  std::uint64_t version_ = 0;
  std::vector<Action> actions_;
  std::map<std::string, int> attempts_;
  std::multimap<Time, std::uint64_t> timers_;
};

}  // namespace inference_router::routing
