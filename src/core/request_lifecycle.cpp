#include "core/request_lifecycle.h"

#include <string_view>
#include <utility>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

constexpr std::string_view kCounterPrefix = "attempts.";

// The counter of an outcome. The part after kCounterPrefix is also used in log lines.
const char* counterOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return "attempts.served";
    case AttemptOutcome::kError:
      return "attempts.error";
    case AttemptOutcome::kRejected:
      return "attempts.turned_away";
    case AttemptOutcome::kTimeout:
      return "attempts.timed_out";
    case AttemptOutcome::kConnectFailed:
      return "attempts.no_connection";
    case AttemptOutcome::kConnectionLost:
      return "attempts.reset";
    case AttemptOutcome::kCancelled:
      return "attempts.cancelled";
    case AttemptOutcome::kNotSent:
      return "attempts.not_sent";
    case AttemptOutcome::kPrefilled:
      return "attempts.read";
  }
  return "attempts.unknown";
}

const char* roleOf(const InstanceFacts* instance) {
  if (instance == nullptr)
    return "";
  return instance->isPrefill ? "_reading" : "_answering";
}

// Whether the router closed the connection while the instance may still be processing the attempt.
// A connection with an unreadable answer is closed as well.
bool closedByRouter(const RequestState& request, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kTimeout:
      return true;
    case AttemptOutcome::kError:
      return request.facts.effect != Effect::kIdempotent;
    default:
      return false;
  }
}

}  // namespace

RequestFacts RequestLifecycle::factsOf(ClassIndex index) const {
  RequestFacts facts;
  if (index.value >= classes_.size())
    return facts;
  const ClassSettings& cls = classes_[index.value];
  facts.effect = cls.effect;
  facts.deduplicatedEverywhere =
      cls.effect == Effect::kDeduplicated && cls.dedupScope == DedupScope::kAll;
  facts.dedupWindowMs = toMs(cls.dedupWindow);
  return facts;
}

RequestKey RequestLifecycle::beginRequest(const Arrival& arrival,
                                          std::shared_ptr<const Payload> payload,
                                          std::shared_ptr<ResponseWriter> responseWriter) {
  RequestState request;
  request.id = arrival.request;
  request.arrival = arrival;
  request.cls = arrival.cls.value;
  request.payload = std::move(payload);
  request.responseWriter = std::move(responseWriter);
  request.facts = factsOf(arrival.cls);
  context_.metrics.requestBegan(request.cls);
  ++openRequests_;
  return context_.requests.add(std::move(request));
}

std::shared_ptr<ResponseWriter> RequestLifecycle::concludeRequest(RequestState& request,
                                                                  RequestOutcome outcome) {
  context_.metrics.requestEnded(request.cls, outcome);
  request.facts.answered = true;
  request.overdue.cancel();
  --openRequests_;
  return std::move(request.responseWriter);
}

void RequestLifecycle::abandonRequest(RequestKey key) {
  abandoned_.push_back(key);
  loop_.post(RequestAbandoned{.request = context_.requests.find(key)->id});
}

void RequestLifecycle::cancelAbandoned() {
  for (const RequestKey key : std::exchange(abandoned_, {}))
    cancelAll(key);
}

void RequestLifecycle::cancelAll(RequestKey key) {
  const RequestState* request = context_.requests.find(key);
  if (request == nullptr)
    return;
  for (const AttemptKey attempt : std::vector(request->attempts))
    if (context_.requests.findAttempt(attempt) != nullptr)
      abortAttempt(attempt, AttemptOutcome::kCancelled);
}

// While the decision module handles an event, its actions may still refer to the request.
void RequestLifecycle::removeIfComplete(RequestKey key) {
  const RequestState* request = context_.requests.find(key);
  if (request == nullptr || request->responseWriter || request->attemptsInFlight != 0 ||
      loop_.running())
    return;
  if (request->facts.mayNotRunAgain())
    context_.executed.add(request->id, context_.nowMs());
  context_.requests.remove(key);
}

void RequestLifecycle::clientDisconnected(RequestKey key) {
  RequestState* request = context_.requests.find(key);
  if (request == nullptr || !request->responseWriter)
    return;
  ++context_.counters["requests.client_gone"];
  concludeRequest(*request, RequestOutcome::kAbandoned);
  abandonRequest(key);
}

bool RequestLifecycle::clientPresent(RequestKey key) {
  const RequestState* request = context_.requests.find(key);
  if (request == nullptr || !request->responseWriter)
    return false;
  if (request->responseWriter->isClientPresent())
    return true;
  clientDisconnected(key);
  return false;
}

// Attempts are removed only here, so that none can end twice.
void RequestLifecycle::endAttempt(AttemptKey key, const AttemptResult& result) {
  AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return;
  attempt->timeout.cancel();
  const RequestKey requestKey = attempt->request;
  RequestState& request = *context_.requests.find(requestKey);
  recordOutcome(request, *attempt, result);
  AttemptEnded event{.request = request.id,
                     .attempt = attempt->number,
                     .instance = attempt->instance,
                     .outcome = result.outcome,
                     .took = toModule(context_.nowMs() - attempt->startedMs),
                     .concluded = false,
                     .cachedTokens = result.cachedTokens,
                     .kvCacheLost = result.kvCacheLost,
                     .report = std::nullopt,
                     .doubtful = result.doubtful};
  const bool streamed = attempt->streaming;
  context_.requests.removeAttempt(key);
  if (request.responseWriter && (streamed || result.outcome == AttemptOutcome::kServed))
    finishResponse(request, result.outcome);
  event.concluded = !context_.requests.find(requestKey)->responseWriter;
  loop_.post(std::move(event));
  removeIfComplete(requestKey);
}

void RequestLifecycle::recordOutcome(RequestState& request,
                                     const AttemptState& attempt,
                                     const AttemptResult& result) const {
  const char* counter = counterOf(result.outcome);
  ++context_.counters[counter];
  request.lastEndedMs = context_.nowMs();
  if (closedByRouter(request, result.outcome))
    request.lastClosedMs = context_.nowMs();
  request.lastOutcome = counter + kCounterPrefix.size();
  request.lastInstanceRole = roleOf(context_.endpoints.find(attempt.instance));
  AttemptHistory& history = request.facts.attempts.at(static_cast<std::size_t>(attempt.number));
  history.inFlight = false;
  history.outcome = request.lastOutcome;
  history.mayHaveRun = !provesNotExecuted(result.outcome, result.doubtful);
}

void RequestLifecycle::finishResponse(RequestState& request, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kServed) {
    const auto responseWriter = concludeRequest(request, RequestOutcome::kOk);
    ++context_.counters["requests.served"];
    responseWriter->end();
  } else {
    const auto responseWriter = concludeRequest(request, RequestOutcome::kError);
    ++context_.counters["requests.broken"];
    responseWriter->abort();
  }
}

void RequestLifecycle::abortAttempt(AttemptKey key, AttemptOutcome outcome) {
  context_.instanceClient->abandon(key);
  endAttempt(key, {.outcome = outcome});
}

}  // namespace inference_router::core
