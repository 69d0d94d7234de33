#include "upstream/releases.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

namespace {

// For one call, including a connection that is established late.
constexpr double kAnswerTimeoutMs = 400;
// The protocol adds this to the release limit of the settings.
constexpr double kProtocolSlackMs = 350;
constexpr double kMinIntervalMs = 20;  // also applies if no instance could be called
// Limits the calls of all releases together: if no instance answered, many releases with many calls
// each would fill the queue for connections. Beyond the limit each release makes one call at a
// time.
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
                   Log log)
    : services_(services),
      releaseLimitMs_(releaseLimitMs),
      head_(std::move(head)),
      allowedFromMs_(std::move(allowedFromMs)),
      log_(std::move(log)) {}

// Calls and their sinks refer to each other until the call is over.
Releases::~Releases() {
  for (const auto& [request, state] : releases_)
    for (const auto& [number, call] : state.calls)
      call->abandon();
}

void Releases::release(const RequestId& request) {
  const double nowMs = services_.clock.nowMs();
  auto [found, isNew] = releases_.try_emplace(request, nowMs, releaseLimitMs_);
  ReleaseProgress& state = found->second;
  if (!isNew) {
    state.attemptStarted = false;
    // Between two rounds nothing is in flight, so the next one can begin at once.
    if (state.retry.betweenRounds())
      state.retry.restart(nowMs);
    else
      state.requestedAgain = true;
  }
  advance(request);
}

void Releases::releaseDuringAttempt(const RequestId& request) {
  const double nowMs = services_.clock.nowMs();
  auto [found, isNew] = releases_.try_emplace(request, nowMs, releaseLimitMs_);
  ReleaseProgress& state = found->second;
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
    found->second.tasksAfterRound.push_back(std::move(task));
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

// Prefers, in this order: an instance that has answered since its last failure; one with an idle
// connection; one that did not accept the last round, as that answer may have been a late one to an
// earlier call; the one that answered last.
const InstanceId* Releases::bestInstance(const ReleaseProgress& state) const {
  using Rank = std::tuple<bool, bool, bool, double>;
  const InstanceId* best = nullptr;
  Rank bestRank;
  for (const auto& [instance, endpoint] : services_.directory.all()) {
    if (state.calledInstances.count(instance) != 0 ||
        endpoint.state == routing::EndpointState::kRemoved)
      continue;
    const Rank rank{endpoint.lastAnswerMs >= endpoint.lastFailureMs,
                    services_.pool.hasIdle(endpoint.address), instance != state.lastAcceptedBy,
                    endpoint.lastAnswerMs};
    if (best != nullptr && rank <= bestRank)
      continue;
    best = &instance;
    bestRank = rank;
  }
  return best;
}

// When the next round may begin; nothing if it might release what the request still needs.
std::optional<double> Releases::nextRoundMs(const RequestId& request,
                                            const ReleaseProgress& state) const {
  const double dueMs = state.retry.nextMs();
  const auto allowedFromMs = allowedFromMs_(request);
  if (allowedFromMs)
    return std::max(dueMs, *allowedFromMs);
  return state.attemptStarted ? std::nullopt : std::optional(dueMs);
}

// Performs the next step of a release: calls more instances, begins the next round, or ends the
// release.
void Releases::advance(const RequestId& request) {
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  ReleaseProgress& state = found->second;
  const double nowMs = services_.clock.nowMs();
  state.nextTimer.cancel();
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
  const bool allCalled = !sendDueCalls(request, state);
  if (services_.directory.all().empty())
    return finish(request);  // without instances nothing is held
  if (allCalled && state.calls.empty())
    state.calledInstances.clear();  // an unreachable instance may be back by the next call
  nextMs = std::max({nextMs, state.retry.nextMs(), nowMs + kMinIntervalMs});
  state.nextTimer = services_.timers.schedule(nextMs, [this, request] { advance(request); });
}

// Calls as many instances as are due. False if there are not that many.
bool Releases::sendDueCalls(const RequestId& request, ReleaseProgress& state) {
  std::size_t due = state.retry.due(services_.clock.nowMs(), state.calls.size());
  if (callsInFlight_ >= kMaxCallsInFlight)
    due = std::min<std::size_t>(due, state.calls.empty() ? 1 : 0);
  for (; due > 0; --due) {
    const InstanceId* const instance = bestInstance(state);
    if (instance == nullptr)
      return false;
    sendCall(request, state, InstanceId(*instance));
  }
  return true;
}

void Releases::sendCall(const RequestId& request,
                        ReleaseProgress& state,
                        const InstanceId& instance) {
  const CallNumber number = ++lastNumber_;
  const InstanceEndpoint& endpoint = *services_.directory.find(instance);
  state.calledInstances.insert(instance);
  ++services_.counters["releases.tried"];
  ++callsInFlight_;
  const auto sink = std::make_shared<Sink>(*this, request, instance, number);
  state.calls[number] =
      TimedCallSink::start(services_, endpoint.address, head_(request, endpoint), sink,
                           net::ConnectionPool::Urgency::kUrgent, kAnswerTimeoutMs);
}

void Releases::answered(const RequestId& request,
                        CallNumber number,
                        const InstanceId& instance,
                        bool accepted) {
  --callsInFlight_;
  const auto found = releases_.find(request);
  if (found == releases_.end())
    return;
  ReleaseProgress& state = found->second;
  state.calls.erase(number);
  const double nowMs = services_.clock.nowMs();
  if (!accepted || number < state.firstCallOfRound) {
    // The last call in flight has failed, so there is no point in waiting for the next wave.
    if (state.calls.empty() && !state.retry.betweenRounds())
      state.retry.callFailed(nowMs);
    return advance(request);
  }
  checkReleaseTime(request, state);
  abandonUnwritten(state);
  state.calledInstances.clear();
  state.lastAcceptedBy = instance;
  state.firstCallOfRound = lastNumber_ + 1;
  if (std::exchange(state.requestedAgain, false))
    state.retry.restart(nowMs);
  else
    state.retry.accepted(nowMs, pendingReservations_.count(request) != 0);
  for (const auto& task : std::exchange(state.tasksAfterRound, {}))
    task();
  advance(request);
}

// Checks the protocol's time limit for held state, as far as this process can observe it: from when
// the release is due until an instance accepts it.
void Releases::checkReleaseTime(const RequestId& request, ReleaseProgress& state) {
  if (std::exchange(state.accepted, true))
    return;
  const double tookMs = services_.clock.nowMs() - state.requestedMs;
  if (tookMs <= releaseLimitMs_ / 2)
    return;
  const bool violated = tookMs > releaseLimitMs_ + kProtocolSlackMs;
  ++services_.counters[violated ? "invariants.violated.held" : "releases.late"];
  log_((violated ? "invariant violated: held by request " : "release accepted late: request ") +
       request.value + ", after " + std::to_string(std::lround(tookMs)) + " ms");
}

// Abandons the calls that are not needed any more. A call that is written already is kept, as its
// answer makes the connection reusable.
void Releases::abandonUnwritten(ReleaseProgress& state) {
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
  ReleaseProgress state = std::move(found->second);
  releases_.erase(found);
  state.nextTimer.cancel();
  abandonUnwritten(state);
  for (const auto& task : state.tasksAfterRound)
    task();
}

}  // namespace inference_router::upstream
