// Long random sequences of legal events against a checker of the five rules, as far as events and
// actions show them. The outcomes are scripted draws; no instance is modelled.
#include <random>

#include "support/rule_book.h"

namespace inference_router::routing {
namespace {

class Checker : RuleBook {
 public:
  Checker(const Settings& settings, std::uint64_t seed)
      : RuleBook(settings), draw_(seed), router_(settings, seed) {}

  void run(int steps) {
    std::vector<EndpointRecord> all;
    for (int i = 0; i < 8; ++i) {
      all.push_back(endpoint(numbered("e", i), i % 3 == 0 ? 0U : i % 3 == 1 ? 1U : 2U, i / 4U));
      list(all.back());
    }
    give(EndpointListUpdate{++version_, EndpointListForm::kFull, all});
    for (int i = 0; i < steps && !::testing::Test::HasFailure(); ++i)
      step();
  }

 private:
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(draw_) < p; }
  int upTo(int most) { return std::uniform_int_distribution<>(0, most)(draw_); }

  void step() {
    advance(Duration(upTo(20'000)));
    const int what = upTo(9);
    if (what < 3)
      return arrive();
    if (what == 3 && chance(0.1))
      return changeList();
    if (what == 4 && chance(0.1))
      return lapse();
    endOne();
  }

  void advance(Duration span) {
    const Time until = now_ + span;
    for (;;) {
      Time next = until;
      for (const auto& [at, timer] : alarms_)
        next = std::min(next, at);
      for (const auto& [id, held] : held_) {
        for (const auto& [n, out] : held.out) {
          if (!held.streaming)
            next = std::min(next, std::max(now_, out.until));
        }
      }
      now_ = std::max(now_, next);
      if (timeOutOne())
        continue;
      if (!alarms_.empty() && alarms_.begin()->first <= now_) {
        const std::uint64_t timer = alarms_.begin()->second;
        alarms_.erase(alarms_.begin());
        give(TimerFired{timer});
        continue;
      }
      if (now_ >= until)
        break;
    }
    checkStanding();
  }

  bool timeOutOne() {
    for (auto& [id, held] : held_) {
      for (const auto& [n, out] : held.out) {
        if (held.streaming || out.until > now_)
          continue;
        finish(id, n, AttemptOutcome::kTimeout);
        return true;
      }
    }
    return false;
  }

  void arrive() {
    const RequestId id{numbered("q", ++arrivals_)};
    const ClassIndex cls{
        static_cast<std::uint32_t>(upTo(static_cast<int>(set_.classes.size()) - 1))};
    const Duration left(50'000 + upTo(3'000'000));
    arrived(id, cls, left);
    give(Arrival{id,
                 cls,
                 {},
                 numbered("s", upTo(20)),
                 chance(0.5) ? numbered("p", upTo(4)) : "",
                 left,
                 {},
                 100.0 + upTo(9000),
                 0,
                 200,
                 false,
                 false});
  }

  void changeList() {
    EndpointRecord entry = entryOf({numbered("e", upTo(7))});
    entry.state = entry.state != EndpointState::kActive ? EndpointState::kActive
                  : chance(0.5)                         ? EndpointState::kDraining
                                                        : EndpointState::kRemoved;
    if (entry.state == EndpointState::kActive)
      entry.started = now_;
    list(entry);
    give(EndpointListUpdate{++version_, EndpointListForm::kChanges, {entry}});
  }

  void lapse() {
    for (auto& [id, held] : held_) {
      if (held.over || !chance(0.3))
        continue;
      held.over = true;
      const RequestId gone = id;
      give(RequestAbandoned{gone});
      return;
    }
  }

  void endOne() {
    std::vector<std::pair<RequestId, int>> out;
    for (const auto& [id, held] : held_) {
      for (const auto& [n, attempt] : held.out)
        out.emplace_back(id, n);
    }
    if (out.empty())
      return;
    const auto [id, n] = out[static_cast<std::size_t>(upTo(static_cast<int>(out.size()) - 1))];
    Held& held = held_.at(id);
    const Out attempt = held.out.at(n);
    if (chance(0.3))
      give(ReservationResult{id, n, {numbered("e", upTo(7))}, chance(0.5)});
    if (held.out.count(n) == 0)
      return;
    if (held.streaming)
      return finish(id, n, AttemptOutcome::kServed);
    if (attempt.writes && !held.over && chance(0.5)) {
      opened(held);
      return give(StreamOpened{id, n, attempt.instance, now_ - attempt.sentAt});
    }
    if (!attempt.writes && chance(0.7))
      return finish(id, n, AttemptOutcome::kPrefilled);
    constexpr AttemptOutcome kBad[] = {AttemptOutcome::kError, AttemptOutcome::kRejected,
                                       AttemptOutcome::kConnectFailed,
                                       AttemptOutcome::kConnectionLost};
    finish(id, n, kBad[upTo(3)]);
  }

  void finish(const RequestId& id, int n, AttemptOutcome outcome) {
    const auto [attempt, concluded] = ended(held_.at(id), n, outcome);
    give(AttemptEnded{
        id, n, attempt.instance, outcome, now_ - attempt.sentAt, concluded, 0, chance(0.3), {}});
  }

  void give(const Event& event) {
    std::vector<Action> actions;
    router_.handle(now_, event, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& act) { see(act); }, action);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancelled_.emplace_back(cancel->request, cancel->attempt);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        alarms_.emplace(now_ + timer->in, timer->timer);
    }
    for (const auto& [id, n] : std::exchange(cancelled_, {})) {
      const auto it = held_.find(id);
      if (it != held_.end() && it->second.out.count(n) != 0 && !it->second.streaming)
        finish(id, n, AttemptOutcome::kCancelled);
    }
  }

  std::mt19937_64 draw_;
  Router router_;
  std::uint64_t version_ = 0;
  int arrivals_ = 0;
  std::multimap<Time, std::uint64_t> alarms_;
  std::vector<std::pair<RequestId, int>> cancelled_;
};

class FiveRules : public ::testing::TestWithParam<int> {};

TEST_P(FiveRules, HoldWhateverHappens) {
  const int variant = GetParam();
  Settings s = plainSettings();
  const ClassSettings base = s.classes[0];
  s.classes = {base, base, base, base};
  s.classes[1].effect = Effect::kAtMostOnce;
  s.classes[2].effect = Effect::kDeduplicated;
  s.classes[2].dedupWindow = 400ms;
  s.classes[3].effect = Effect::kDeduplicated;
  s.classes[3].dedupScope = DedupScope::kCell;
  s.limits.cancel = (variant & 1) == 0;
  s.reservationsAllowed = (variant & 2) == 0;
  s.decodeCanPrefill = (variant & 4) != 0;
  s.limits.hedgedRequests = (variant & 8) != 0;
  s.limits.gossip = (variant & 4) == 0;
  s.limits.healthChecks = (variant & 1) != 0;
  s.reports = (variant & 2) != 0 ? LoadReports::kProbed : LoadReports::kNone;
  s.streamResumption = (variant & 8) == 0;
  s.nodes = 1 + variant % 3;
  Checker(s, static_cast<std::uint64_t>(variant) + 1).run(4000);
}

INSTANTIATE_TEST_SUITE_P(Settings, FiveRules, ::testing::Range(0, 16));

}  // namespace
}  // namespace inference_router::routing
