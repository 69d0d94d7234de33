// A fleet of one's own for module tests: settings, a clock, and the router's actions by kind.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "inference_router/router.h"

namespace inference_router::routing {

using namespace std::chrono_literals;

// Appends rather than adds: GCC 12 warns falsely on a literal plus a string (its bug 105329).
inline std::string numbered(const char* stem, int number) {
  return std::string(stem).append(std::to_string(number));
}

inline Settings plainSettings() {
  Settings s{};
  s.classes = {{Effect::kIdempotent, DedupScope::kAll, 5s, 1s, 40ms, 60ms, 6s, 0.3, 1.0, true}};
  s.kinds = {{Role::kPrefill, 200'000}, {Role::kDecode, 100'000}, {Role::kMixed, 150'000}};
  s.contract = {1s, 8ms, 10s, 0.3, 10s, 3.0, 3s, 500ms};
  s.limits = {.cancel = true,
              .gossip = false,
              .healthChecks = false,
              .hedgedRequests = false,
              .retryAfter = true,
              .maxAttempts = 6,
              .maxRetryAfter = 2s,
              .connectTimeout = 250ms};
  s.discovery = Discovery::kPush;
  s.reports = LoadReports::kNone;
  s.reservationsAllowed = true;
  s.nodes = 1;
  s.tick = 2ms;
  return s;
}

constexpr std::uint32_t kPrefill = 0, kDecode = 1, kMixed = 2;  // kinds of plainSettings()

inline EndpointRecord endpoint(const std::string& id, std::uint32_t kind, std::uint32_t cell = 0) {
  return {{id}, {0}, {kind}, {cell}, EndpointState::kActive, 1.0, {}};
}

class Fleet {
 public:
  explicit Fleet(const Settings& settings = plainSettings(), std::uint64_t seed = 7)
      : settings_(settings), router_(settings, seed) {}

  Fleet& list(std::vector<EndpointRecord> entries,
              EndpointListForm form = EndpointListForm::kFull) {
    return give(EndpointListUpdate{++version_, form, std::move(entries)});
  }
  Fleet& give(const Event& event) {
    actions_.clear();
    router_.handle(now_, event, actions_);
    for (const Action& action : actions_) {
      if (const auto* send = std::get_if<DispatchAttempt>(&action))
        ++attempts_[send->request.value];
      if (const auto* timer = std::get_if<SetTimer>(&action))
        alarms_.emplace(now_ + timer->in, timer->timer);
    }
    return *this;
  }
  Fleet& arrive(const std::string& id,
                const std::string& prefix = "",
                Duration left = 6s,
                double tokens = 1000) {
    return give(arrival(id, prefix, left, tokens));
  }
  static Arrival arrival(const std::string& id,
                         const std::string& prefix = "",
                         Duration left = 6s,
                         double tokens = 1000) {
    return {{id}, {0}, {}, "session-" + id, prefix, left, {}, tokens, 0, 200, false, false};
  }
  Fleet& end(const std::string& id,
             const std::string& at,
             AttemptOutcome outcome,
             Duration took = 50ms,
             bool concluded = false,
             bool kvCacheLost = false) {
    return give(
        AttemptEnded{{id}, attempts_[id] - 1, {at}, outcome, took, concluded, 0, kvCacheLost, {}});
  }
  Fleet& open(const std::string& id, const std::string& at) {
    return give(StreamOpened{{id}, attempts_[id] - 1, {at}, 20ms});
  }
  // Moves the clock, ringing what was asked for; the actions of all rings are kept together.
  Fleet& wait(Duration span) {
    const Time until = now_ + span;
    std::vector<Action> all;
    while (!alarms_.empty() && alarms_.begin()->first <= until) {
      const auto [at, timer] = *alarms_.begin();
      alarms_.erase(alarms_.begin());
      now_ = std::max(now_, at);
      give(TimerFired{timer});
      all.insert(all.end(), actions_.begin(), actions_.end());
    }
    now_ = until;
    actions_ = all;
    return *this;
  }

  template <class Act>
  std::vector<Act> all() const {
    std::vector<Act> found;
    for (const Action& action : actions_) {
      if (const auto* act = std::get_if<Act>(&action))
        found.push_back(*act);
    }
    return found;
  }
  template <class Act>
  bool any() const {
    return !all<Act>().empty();
  }
  std::string sentTo() const {
    const auto sends = all<DispatchAttempt>();
    return sends.empty() ? "" : sends.back().instance.value;
  }
  std::string placeAt() const {
    const auto places = all<ReserveDecode>();
    return places.empty() ? "" : places.back().instance.value;
  }
  // A whole request served in peace; returns where it was read.
  std::string serve(const std::string& id, const std::string& prefix = "") {
    const std::string reader = arrive(id, prefix).sentTo();
    const std::string writer = wait(50ms).end(id, reader, AttemptOutcome::kPrefilled).sentTo();
    wait(20ms).open(id, writer).wait(200ms).end(id, writer, AttemptOutcome::kServed, 220ms, true);
    return reader;
  }
  Time now() const { return now_; }
  bool hasAlarm() const { return !alarms_.empty(); }
  const std::vector<Action>& actions() const { return actions_; }

 private:
  Settings settings_;
  Router router_;
  Time now_{10s};
  std::uint64_t version_ = 0;
  std::vector<Action> actions_;
  std::map<std::string, int> attempts_;
  std::multimap<Time, std::uint64_t> alarms_;
};

}  // namespace inference_router::routing
