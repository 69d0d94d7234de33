// Property test: long random sequences of valid events must not violate the invariants of routing
// that are visible in events and actions. Outcomes are drawn at random; instances are not modelled.
#include <random>

#include "support/invariant_checker.h"

namespace inference_router::routing {
namespace {

class RandomEvents : InvariantChecker {
 public:
  RandomEvents(const Settings& settings, std::uint64_t seed)
      : InvariantChecker(settings), draw_(seed), router_(settings, seed) {}

  void run(int steps) {
    std::vector<EndpointRecord> all;
    for (int i = 0; i < 8; ++i) {
      const auto kind = static_cast<std::uint32_t>(i % 3);
      all.push_back(endpoint(numbered("e", i), kind, i / 4U));
      trackEndpoint(all.back());
    }
    handle(EndpointListUpdate{++version_, EndpointListForm::kFull, all});
    for (int i = 0; i < steps && !::testing::Test::HasFailure(); ++i)
      step();
  }

 private:
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(draw_) < p; }
  int drawUpTo(int max) { return std::uniform_int_distribution<>(0, max)(draw_); }

  void step() {
    advance(Duration(drawUpTo(20'000)));
    const int choice = drawUpTo(9);
    if (choice < 3)
      return arrive();
    if (choice == 3 && chance(0.1))
      return changeList();
    if (choice == 4 && chance(0.1))
      return abandon();
    endRandomAttempt();
  }

  void advance(Duration span) {
    const Time until = now_ + span;
    for (;;) {
      Time next = until;
      for (const auto& [at, timer] : timers_)
        next = std::min(next, at);
      for (const auto& [id, request] : requests_) {
        for (const auto& [n, out] : request.attemptsInFlight) {
          if (!request.streaming)
            next = std::min(next, std::max(now_, out.until));
        }
      }
      now_ = std::max(now_, next);
      if (expireOneAttempt())
        continue;
      if (!timers_.empty() && timers_.begin()->first <= now_) {
        const std::uint64_t timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        handle(TimerFired{timer});
        continue;
      }
      if (now_ >= until)
        break;
    }
    checkOpenRequests();
  }

  bool expireOneAttempt() {
    for (auto& [id, request] : requests_) {
      for (const auto& [n, out] : request.attemptsInFlight) {
        if (request.streaming || out.until > now_)
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
        static_cast<std::uint32_t>(drawUpTo(static_cast<int>(settings_.classes.size()) - 1))};
    const Duration left(50'000 + drawUpTo(3'000'000));
    trackArrival(id, cls, left);
    handle(Arrival{id,
                   cls,
                   {},
                   numbered("s", drawUpTo(20)),
                   chance(0.5) ? numbered("p", drawUpTo(4)) : "",
                   left,
                   {},
                   100.0 + drawUpTo(9000),
                   0,
                   200,
                   false,
                   false});
  }

  void changeList() {
    EndpointRecord entry = entryOf({numbered("e", drawUpTo(7))});
    if (entry.state != EndpointState::kActive)
      entry.state = EndpointState::kActive;
    else
      entry.state = chance(0.5) ? EndpointState::kDraining : EndpointState::kRemoved;
    if (entry.state == EndpointState::kActive)
      entry.started = now_;
    trackEndpoint(entry);
    handle(EndpointListUpdate{++version_, EndpointListForm::kChanges, {entry}});
  }

  void abandon() {
    for (auto& [id, request] : requests_) {
      if (request.finished || !chance(0.3))
        continue;
      request.finished = true;
      const RequestId abandoned = id;
      handle(RequestAbandoned{abandoned});
      return;
    }
  }

  void endRandomAttempt() {
    std::vector<std::pair<RequestId, int>> out;
    for (const auto& [id, request] : requests_) {
      for (const auto& [n, attempt] : request.attemptsInFlight)
        out.emplace_back(id, n);
    }
    if (out.empty())
      return;
    const auto [id, n] = out[static_cast<std::size_t>(drawUpTo(static_cast<int>(out.size()) - 1))];
    TrackedRequest& request = requests_.at(id);
    const TrackedAttempt attempt = request.attemptsInFlight.at(n);
    if (chance(0.3))
      handle(ReservationResult{id, n, {numbered("e", drawUpTo(7))}, chance(0.5)});
    if (request.attemptsInFlight.count(n) == 0)
      return;
    if (request.streaming)
      return finish(id, n, AttemptOutcome::kServed);
    if (attempt.decodes && !request.finished && chance(0.5)) {
      trackFirstToken(request);
      return handle(StreamOpened{id, n, attempt.instance, now_ - attempt.sentAt});
    }
    if (!attempt.decodes && chance(0.7))
      return finish(id, n, AttemptOutcome::kPrefilled);
    constexpr AttemptOutcome kFailures[] = {AttemptOutcome::kError, AttemptOutcome::kRejected,
                                            AttemptOutcome::kConnectFailed,
                                            AttemptOutcome::kConnectionLost};
    finish(id, n, kFailures[drawUpTo(3)]);
  }

  void finish(const RequestId& id, int n, AttemptOutcome outcome) {
    const auto [attempt, concluded] = trackEnd(requests_.at(id), n, outcome);
    handle(AttemptEnded{
        id, n, attempt.instance, outcome, now_ - attempt.sentAt, concluded, 0, chance(0.3), {}});
  }

  void handle(const Event& event) {
    std::vector<Action> actions;
    router_.handle(now_, event, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& act) { check(act); }, action);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancelled_.emplace_back(cancel->request, cancel->attempt);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now_ + timer->delay, timer->timer);
    }
    for (const auto& [id, n] : std::exchange(cancelled_, {})) {
      const auto it = requests_.find(id);
      if (it != requests_.end() && it->second.attemptsInFlight.count(n) != 0 &&
          !it->second.streaming)
        finish(id, n, AttemptOutcome::kCancelled);
    }
  }

  std::mt19937_64 draw_;
  Router router_;
  std::uint64_t version_ = 0;
  int arrivals_ = 0;
  std::multimap<Time, std::uint64_t> timers_;
  std::vector<std::pair<RequestId, int>> cancelled_;
};

class Invariants : public ::testing::TestWithParam<int> {};

TEST_P(Invariants, HoldUnderRandomEvents) {
  const int variant = GetParam();
  Settings settings = plainSettings();
  const ClassSettings base = settings.classes[0];
  settings.classes = {base, base, base, base};
  settings.classes[1].effect = Effect::kAtMostOnce;
  settings.classes[2].effect = Effect::kDeduplicated;
  settings.classes[2].dedupWindow = 400ms;
  settings.classes[3].effect = Effect::kDeduplicated;
  settings.classes[3].dedupScope = DedupScope::kCell;
  settings.limits.cancel = (variant & 1) == 0;
  settings.reservationsAllowed = (variant & 2) == 0;
  settings.decodeCanPrefill = (variant & 4) != 0;
  settings.limits.hedgedRequests = (variant & 8) != 0;
  settings.limits.gossip = (variant & 4) == 0;
  settings.limits.healthChecks = (variant & 1) != 0;
  settings.reports = (variant & 2) != 0 ? LoadReports::kProbed : LoadReports::kNone;
  settings.streamResumption = (variant & 8) == 0;
  settings.nodes = 1 + variant % 3;
  RandomEvents(settings, static_cast<std::uint64_t>(variant) + 1).run(4000);
}

INSTANTIATE_TEST_SUITE_P(Settings, Invariants, ::testing::Range(0, 16));

}  // namespace
}  // namespace inference_router::routing
