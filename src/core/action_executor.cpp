#include "core/action_executor.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

// By how much a close may reach its instance later than what is sent next reaches others, on other
// connections: far above the transmission time within a deployment, and far below the slack of each
// limit.
constexpr double kCloseTransmissionMs = 10;

// Guards a rejection and the next attempt against a close that they overtake: until it is there, an
// attempt that was cancelled is open at its instance, be it a prefill instance, and may run.
double closesArrivedMs(const RequestState& request) {
  return request.lastClosedMs + kCloseTransmissionMs;
}

bool isIdempotent(const RequestState& request) {
  return request.facts.effect == Effect::kIdempotent;
}

}  // namespace

void ActionExecutor::carryOut(const Action& action) {
  std::visit([this](const auto& alternative) { carryOut(alternative); }, action);
}

// Without hedged requests no two attempts may be open at once, whatever the request's class.
double ActionExecutor::nextSendMs(const RequestState& request) const {
  return isIdempotent(request) && hedgedRequests_ ? 0 : closesArrivedMs(request);
}

double ActionExecutor::rejectionMs(const RequestState& request) const {
  return isIdempotent(request) ? 0 : closesArrivedMs(request);
}

RequestState* ActionExecutor::findUnanswered(const RequestId& id) {
  RequestState* request = context_.requests.find(id);
  const bool unanswered =
      request != nullptr && request->responseWriter && !request->facts.streaming;
  return unanswered ? request : nullptr;
}

void ActionExecutor::carryOut(const DispatchAttempt& action) {
  const auto owner = context_.requests.keyOf(action.request);
  if (!owner)
    return;
  const InstanceFacts* instance = context_.endpoints.find(action.instance);
  const bool isPrefill = instance != nullptr && instance->isPrefill;
  const AttemptKey key = addAttempt(*owner, action, isPrefill);
  if (!guard_.maySend(key))
    return lifecycle_.endAttempt(key, {.outcome = AttemptOutcome::kNotSent});
  const RequestState& request = *context_.requests.find(*owner);
  const double untilMs = toMs(action.until) > 0 ? toMs(action.until) : request.facts.deadlineMs;
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
                                  .notBeforeMs = nextSendMs(request),
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
  attempt.retryWindowEnd = action.before;
  request.facts.attempts.push_back(
      {.instance = action.instance.value, .isPrefill = isPrefill, .sentMs = context_.nowMs()});
  ++context_.counters["attempts.sent"];
  return context_.requests.addAttempt(std::move(attempt));
}

void ActionExecutor::carryOut(const ReserveDecode& action) {
  const RequestState* request = context_.requests.find(action.request);
  if (request == nullptr || request->attempts.empty())
    return;
  ++context_.counters["places.asked"];
  context_.instanceClient->reserve(request->id, request->attempts.back(), action.instance);
}

void ActionExecutor::carryOut(const ReleaseState& action) {
  ++context_.counters["releases.sent"];
  context_.instanceClient->release(action.request);
}

void ActionExecutor::carryOut(const RejectRequest& action) {
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
  const double answerMs = rejectionMs(*request);
  const std::shared_ptr<ResponseWriter> responseWriter =
      lifecycle_.concludeRequest(*request, RequestOutcome::kShed);
  if (context_.nowMs() >= answerMs)
    return responseWriter->reject(rejection);
  context_.timers.runAt(answerMs,
                        [responseWriter, rejection] { responseWriter->reject(rejection); });
}

void ActionExecutor::carryOut(const FailRequest& action) {
  RequestState* request = findUnanswered(action.request);
  if (request == nullptr)
    return;
  ++context_.counters["requests.failed"];
  const bool pastDeadline = context_.nowMs() >= request->facts.deadlineMs;
  const auto responseWriter = lifecycle_.concludeRequest(*request, RequestOutcome::kError);
  responseWriter->fail({.pastDeadline = pastDeadline});
}

// A stream that has begun belongs to its client.
void ActionExecutor::carryOut(const CancelAttempt& action) {
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

void ActionExecutor::carryOut(const MigrateStream& action) {
  migration_.migrate(action);
}

void ActionExecutor::carryOut(const SetTimer& action) {
  const auto fire = [this, timer = action.timer] { loop_.post(TimerFired{.timer = timer}); };
  context_.timers.runAt(context_.nowMs() + toMs(action.in), fire);
}

void ActionExecutor::carryOut(const SendHealthCheck& action) {
  ++context_.counters["probes.sent"];
  context_.instanceClient->checkHealth(action.instance);
}

void ActionExecutor::carryOut(const LogMessage& action) {
  context_.log(action.text);
}

}  // namespace inference_router::core
