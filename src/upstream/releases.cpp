#include "upstream/releases.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

namespace {

// For one call: a connection that comes up late, and the answer.
constexpr double kAnswerLimitMs = 400;
constexpr double kProtocolSlackMs = 350;  // that the protocol adds to the settings' time limit
constexpr double kMinPauseMs = 20;        // also after no instance could be asked
// Calls of all releases together: where no instance answers, many releases with many calls each
// would fill the queue for connections. Beyond it each release still asks one at a time.
constexpr std::size_t kMaxCallsInFlight = 128;
constexpr unsigned kAcceptedStatus = 204;

}  // namespace

// One call to one instance.
class Releases::Sink final : public TimedCallSink {
 public:
  Sink(Releases& owner, RequestId request, InstanceId instance, CallNumber number)
      : owner_(owner),
        request_(std::move(request)),
        instance_(std::move(instance)),
        number_(number) {}

  void head(const net::ResponseHead& head) override {
    owner_.services_.directory.recordAnswer(instance_, nowMs());
    accepted_ = head.result_int() == kAcceptedStatus;
  }
  void done() override { owner_.answered(request_, number_, instance_, accepted_); }
  void failed(net::CallFailure why) override {
    if (why != net::CallFailure::kWithdrawn)
      owner_.services_.directory.recordFailure(instance_, nowMs());
    owner_.answered(request_, number_, instance_, false);
  }

 private:
  void timedOut() override {
    owner_.services_.directory.recordFailure(instance_, nowMs());
    owner_.answered(request_, number_, instance_, false);
  }
  double nowMs() const { return owner_.services_.clock.nowMs(); }

  Releases& owner_;
  RequestId request_;
  InstanceId instance_;
  CallNumber number_;
  bool accepted_ = false;
};

Releases::Releases(const CallServices& services,
                   double releaseLimitMs,
                   Head head,
                   AllowedFromMs allowedFromMs,
                   Report report)
    : services_(services),
      releaseLimitMs_(releaseLimitMs),
      head_(std::move(head)),
      allowedFromMs_(std::move(allowedFromMs)),
      report_(std::move(report)) {}

// A call and its sink hold each other while it runs.
Releases::~Releases() {
  for (const auto& [request, state] : releases_)
    for (const auto& [number, call] : state.calls)
      call->abandon();
}

void Releases::release(const RequestId& request) {
  const double nowMs = services_.clock.nowMs();
  auto [found, isNew] = releases_.try_emplace(request, nowMs, releaseLimitMs_);
  Releasing& state = found->second;
  if (!isNew) {
    state.attemptStarted = false;
    // Between two rounds nothing is in flight, so that the next one can begin at once.
    if (state.retry.betweenRounds())
      state.retry.restart(nowMs);
    else
      state.requestedAgain = true;
  }
  advance(request);
}

void Releases::releaseBeside(const RequestId& request) {
  const double nowMs = services_.clock.nowMs();
  auto [found, isNew] = releases_.try_emplace(request, nowMs, releaseLimitMs_);
  Releasing& state = found->second;
  if (isNew) {
    state.retry.delayRoundUntil(nowMs);
    state.attemptStarted = true;
  } else {
    state.retry.reservationSettled(nowMs);
  }
  advance(request);
}

void Releases::attemptStarted(const RequestId& request) {
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  found->second.attemptStarted = true;
  found->second.requestedAgain = false;
}

void Releases::runAfterRound(const RequestId& request, std::function<void()> task) {
  const auto found = releases_.find(request);
  if (found != releases_.end() && !found->second.retry.betweenRounds())
    found->second.afterRound.push_back(std::move(task));
  else
    task();
}

void Releases::reservationSettled(const RequestId& request) {
  const auto pending = pendingReservations_.find(request);
  if (pending == pendingReservations_.end())
    return;
  if (--pending->second > 0)
    return;
  pendingReservations_.erase(pending);
  const auto releasing = releases_.find(request);
  if (releasing == releases_.end())
    return;
  releasing->second.retry.reservationSettled(services_.clock.nowMs());
  advance(request);
}

// First an instance that did not fail lately; of those, one with a connection at hand; of those,
// one that did not accept the last round, as what was taken for its answer may have been a late one
// to an earlier call; then the one that answered last.
const InstanceId* Releases::bestInstance(const Releasing& state) const {
  using Rank = std::tuple<bool, bool, bool, double>;
  const InstanceId* best = nullptr;
  Rank bestRank;
  for (const auto& [instance, endpoint] : services_.directory.all()) {
    if (state.asked.count(instance) != 0 || endpoint.state == routing::EndpointState::kRemoved)
      continue;
    const Rank rank{endpoint.heardMs >= endpoint.failedMs, services_.pool.hasIdle(endpoint.address),
                    instance != state.lastAcceptedBy, endpoint.heardMs};
    if (best != nullptr && rank <= bestRank)
      continue;
    best = &instance;
    bestRank = rank;
  }
  return best;
}

// When the next round may begin; never if it would take what the request goes on with.
std::optional<double> Releases::nextRoundMs(const RequestId& request,
                                            const Releasing& state) const {
  const double dueMs = state.retry.nextMs();
  const auto allowedFromMs = allowedFromMs_(request);
  if (allowedFromMs)
    return std::max(dueMs, *allowedFromMs);
  return state.attemptStarted ? std::nullopt : std::optional(dueMs);
}

// The one place in which a release moves on: asks more instances, begins its next round, or ends.
void Releases::advance(const RequestId& request) {
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  Releasing& state = found->second;
  const double nowMs = services_.clock.nowMs();
  state.next.cancel();
  double nextMs = nowMs;
  if (state.retry.betweenRounds()) {
    const auto roundMs = nextRoundMs(request, state);
    if (!roundMs)
      return finish(request);
    if (nowMs >= *roundMs) {
      state.retry.beginRound(nowMs);
      state.requestedMs = nowMs;
    } else if (std::isfinite(*roundMs)) {
      nextMs = *roundMs;
    }
  }
  if (state.retry.over(nowMs)) {
    if (!state.retry.complete())
      ++services_.counters["releases.given_up"];
    return finish(request);
  }
  const bool allAsked = !askDue(request, state);
  if (services_.directory.all().empty())
    return finish(request);  // no instances, so nothing is held anywhere
  if (allAsked && state.calls.empty())
    state.asked.clear();  // one that could not be reached may be back after a pause
  nextMs = std::max({nextMs, state.retry.nextMs(), nowMs + kMinPauseMs});
  state.next = services_.timers.schedule(nextMs, [this, request] { advance(request); });
}

// Asks as many instances as are due; false if there are not that many.
bool Releases::askDue(const RequestId& request, Releasing& state) {
  std::size_t due = state.retry.due(services_.clock.nowMs(), state.calls.size());
  if (callsInFlight_ >= kMaxCallsInFlight)
    due = std::min<std::size_t>(due, state.calls.empty() ? 1 : 0);
  for (; due > 0; --due) {
    const InstanceId* const instance = bestInstance(state);
    if (instance == nullptr)
      return false;
    ask(request, state, InstanceId(*instance));
  }
  return true;
}

void Releases::ask(const RequestId& request, Releasing& state, const InstanceId& instance) {
  const CallNumber number = ++lastNumber_;
  const InstanceEndpoint& endpoint = *services_.directory.find(instance);
  state.asked.insert(instance);
  ++services_.counters["releases.tried"];
  ++callsInFlight_;
  const auto sink = std::make_shared<Sink>(*this, request, instance, number);
  state.calls[number] =
      TimedCallSink::start(services_, endpoint.address, head_(request, endpoint), sink,
                           net::ConnectionPool::Urgency::kUrgent, kAnswerLimitMs);
}

void Releases::answered(const RequestId& request,
                        CallNumber number,
                        const InstanceId& by,
                        bool accepted) {
  --callsInFlight_;
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  Releasing& state = found->second;
  state.calls.erase(number);
  const double nowMs = services_.clock.nowMs();
  if (!accepted || number < state.firstOfRound) {
    // The last one asked has failed: no use waiting for the next wave.
    if (state.calls.empty() && !state.retry.betweenRounds())
      state.retry.callFailed(nowMs);
    return advance(request);
  }
  checkReleaseTime(request, state);
  abandonUnwritten(state);
  state.asked.clear();
  state.lastAcceptedBy = by;
  state.firstOfRound = lastNumber_ + 1;
  if (std::exchange(state.requestedAgain, false))
    state.retry.restart(nowMs);
  else
    state.retry.accepted(nowMs, pendingReservations_.count(request) != 0);
  for (const auto& task : std::exchange(state.afterRound, {}))
    task();
  advance(request);
}

// The protocol's limit on what is held, as far as this process can see it: until an instance
// accepted a release that was due.
void Releases::checkReleaseTime(const RequestId& request, Releasing& state) {
  if (std::exchange(state.accepted, true))
    return;
  const double tookMs = services_.clock.nowMs() - state.requestedMs;
  if (tookMs <= releaseLimitMs_ / 2)
    return;
  const bool violated = tookMs > releaseLimitMs_ + kProtocolSlackMs;
  ++services_.counters[violated ? "invariants.violated.held" : "releases.late"];
  report_((violated ? "invariant violated: held by request " : "release accepted late: request ") +
          request.value + ", after " + std::to_string(std::lround(tookMs)) + " ms");
}

// No other instance needs to be reached. What is written already stays: its answer gives the
// connection back.
void Releases::abandonUnwritten(Releasing& state) {
  std::erase_if(state.calls, [this](const auto& entry) {
    const net::Call::State callState = entry.second->state();
    if (callState != net::Call::State::kWaiting && callState != net::Call::State::kConnecting)
      return false;
    entry.second->abandon();
    --callsInFlight_;
    return true;
  });
}

void Releases::finish(const RequestId& request) {
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  Releasing state = std::move(found->second);
  releases_.erase(found);
  state.next.cancel();
  abandonUnwritten(state);
  for (const auto& task : state.afterRound)
    task();
}

}  // namespace inference_router::upstream
