#include "core/action_executor.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

// How much later the close of a connection may reach its instance than the next message, sent on
// another connection, reaches another instance. Far above the transmission time within a deployment
// and far below the slack of each time limit.
constexpr double kCloseTransmissionMs = 10;

// When the last close has arrived at its instance. Until then the cancelled attempt is still open
// there, even at a prefill instance, and may run, so neither a rejection nor the next attempt may
// overtake it.
double closesArrivedMs(const RequestState& request) {
  return request.lastClosedMs + kCloseTransmissionMs;
}

bool isIdempotent(const RequestState& request) {
  return request.facts.effect == Effect::kIdempotent;
}

}  // namespace

void ActionExecutor::execute(const Action& action) {
  std::visit([this](const auto& alternative) { execute(alternative); }, action);
}

// The earliest time for the next attempt. Without hedged requests no two attempts of a request may
// be open at once, whatever its class.
double ActionExecutor::earliestSendMs(const RequestState& request) const {
  return isIdempotent(request) && hedgedRequests_ ? 0 : closesArrivedMs(request);
}

// The earliest time for a rejection.
double ActionExecutor::earliestRejectionMs(const RequestState& request) const {
  return isIdempotent(request) ? 0 : closesArrivedMs(request);
}

RequestState* ActionExecutor::findUnanswered(const RequestId& id) {
  RequestState* request = context_.requests.find(id);
  const bool unanswered =
      request != nullptr && request->responseWriter && !request->facts.streaming;
  return unanswered ? request : nullptr;
}

void ActionExecutor::execute(const DispatchAttempt& action) {
  const auto owner = context_.requests.keyOf(action.request);
  if (!owner)
    return;
  const InstanceFacts* instance = context_.endpoints.find(action.instance);
  const bool isPrefill = instance != nullptr && instance->isPrefill;
  const AttemptKey key = addAttempt(*owner, action, isPrefill);
  if (!guard_.maySend(key))
    return lifecycle_.endAttempt(key, {.outcome = AttemptOutcome::kNotSent});
  const RequestState& request = *context_.requests.find(*owner);
  const double untilMs =
      toMs(action.timeoutAt) > 0 ? toMs(action.timeoutAt) : request.facts.deadlineMs;
  const double deadlineMs = std::min(untilMs, request.facts.deadlineMs);
  context_.requests.findAttempt(key)->timeout = context_.timers.schedule(deadlineMs, [this, key] {
    if (context_.requests.findAttempt(key) != nullptr)
      lifecycle_.abortAttempt(key, AttemptOutcome::kTimeout);
  });
  context_.instanceClient->start({.attempt = key,
                                  .request = request.id,
                                  .instance = action.instance,
                                  .payload = request.payload,
                                  .deadlineMs = deadlineMs,
                                  .isPrefill = isPrefill,
                                  .notBeforeMs = earliestSendMs(request),
                                  .lastAttemptEndedMs = request.lastEndedMs});
}

AttemptKey ActionExecutor::addAttempt(RequestKey owner,
                                      const DispatchAttempt& action,
                                      bool isPrefill) {
  RequestState& request = *context_.requests.find(owner);
  guard_.checkAttempt(request);
  AttemptState attempt;
  attempt.request = owner;
  attempt.number = static_cast<int>(request.attempts.size());
  attempt.instance = action.instance;
  attempt.startedMs = context_.nowMs();
  attempt.retryWindowEnd = action.sendDeadline;
  request.facts.attempts.push_back(
      {.instance = action.instance.value, .isPrefill = isPrefill, .sentMs = context_.nowMs()});
  ++context_.counters["attempts.sent"];
  return context_.requests.addAttempt(std::move(attempt));
}

void ActionExecutor::execute(const ReserveDecode& action) {
  const RequestState* request = context_.requests.find(action.request);
  if (request == nullptr || request->attempts.empty())
    return;
  ++context_.counters["places.asked"];
  context_.instanceClient->reserve(request->id, request->attempts.back(), action.instance);
}

void ActionExecutor::execute(const ReleaseState& action) {
  ++context_.counters["releases.sent"];
  context_.instanceClient->release(action.request);
}

void ActionExecutor::execute(const RejectRequest& action) {
  RequestState* request = findUnanswered(action.request);
  if (request == nullptr)
    return;
  ++context_.counters["requests.refused"];
  ++context_.counters[std::string("requests.refused_after.") + request->lastOutcome +
                      request->lastInstanceRole];
  guard_.checkRejection(*request);
  const Rejection rejection{
      .retryAfterMs = action.retryAfter ? std::optional(toMs(*action.retryAfter)) : std::nullopt,
      .pastDeadline = context_.nowMs() >= request->facts.deadlineMs};
  const double rejectAtMs = earliestRejectionMs(*request);
  const std::shared_ptr<ResponseWriter> responseWriter =
      lifecycle_.concludeRequest(*request, RequestOutcome::kShed);
  if (context_.nowMs() >= rejectAtMs)
    return responseWriter->reject(rejection);
  context_.timers.runAt(rejectAtMs,
                        [responseWriter, rejection] { responseWriter->reject(rejection); });
}

void ActionExecutor::execute(const FailRequest& action) {
  RequestState* request = findUnanswered(action.request);
  if (request == nullptr)
    return;
  ++context_.counters["requests.failed"];
  const bool pastDeadline = context_.nowMs() >= request->facts.deadlineMs;
  const auto responseWriter = lifecycle_.concludeRequest(*request, RequestOutcome::kError);
  responseWriter->fail({.pastDeadline = pastDeadline});
}

// Does not cancel a stream that a connected client is receiving.
void ActionExecutor::execute(const CancelAttempt& action) {
  const RequestState* request = context_.requests.find(action.request);
  if (request == nullptr || action.attempt < 0)
    return;
  const auto number = static_cast<std::size_t>(action.attempt);
  if (number >= request->attempts.size())
    return;
  const AttemptKey key = request->attempts[number];
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr || (attempt->streaming && request->responseWriter))
    return;
  lifecycle_.abortAttempt(key, AttemptOutcome::kCancelled);
}

void ActionExecutor::execute(const MigrateStream& action) {
  migration_.migrate(action);
}

void ActionExecutor::execute(const SetTimer& action) {
  const auto fire = [this, timer = action.timer] { loop_.post(TimerFired{.timer = timer}); };
  context_.timers.runAt(context_.nowMs() + toMs(action.delay), fire);
}

void ActionExecutor::execute(const SendHealthCheck& action) {
  ++context_.counters["probes.sent"];
  context_.instanceClient->checkHealth(action.instance);
}

void ActionExecutor::execute(const LogMessage& action) {
  context_.log(action.text);
}

}  // namespace inference_router::core
