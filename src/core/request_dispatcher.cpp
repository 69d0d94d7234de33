#include "core/request_dispatcher.h"

#include <string>
#include <utility>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

// How long after the deadline and the answer grace period the decision module may leave a request
// without an answer before the dispatcher fails the request.
constexpr double kOverdueToleranceMs = 10;

}  // namespace

RequestDispatcher::RequestDispatcher(const Settings& settings,
                                     std::uint64_t seed,
                                     const Clock& clock,
                                     TimerQueue& timers,
                                     Counters& counters)
    : context_{.clock = clock, .timers = timers, .counters = counters},
      loop_(settings,
            seed,
            clock,
            {.execute = [this](const Action& action) { executor_.execute(action); },
             .onEventHandled =
                 [this] {
                   lifecycle_.cancelAbandoned();
                   countSlowStart();
                 },
             .onIdle =
                 [this](const std::vector<RequestId>& requests) {
                   for (const RequestId& request : requests)
                     if (const auto key = context_.requests.keyOf(request))
                       lifecycle_.removeIfComplete(*key);
                 }}),
      lifecycle_(context_, loop_),
      guard_(context_, lifecycle_),
      migration_(context_, loop_, lifecycle_),
      executor_(context_, loop_, lifecycle_, guard_, migration_) {
  configure(settings);
}

void RequestDispatcher::reconfigure(const Settings& settings) {
  loop_.reconfigure(settings);
  configure(settings);
}

void RequestDispatcher::configure(const Settings& settings) {
  context_.metrics.ensureClasses(settings.classes.size());
  context_.endpoints.configure(settings);
  context_.permits.configure(toMs(settings.contract.drainGrace), settings.limits.hedgedRequests);
  lifecycle_.configure(settings);
  executor_.configure(settings);
  streamResumption_ = settings.streamResumption;
  answerGraceMs_ = toMs(settings.contract.answerGrace);
}

// ---- From clients

bool RequestDispatcher::mayHaveRun(const Arrival& arrival) {
  const bool asksForRest = arrival.resumed && streamResumption_;
  return !asksForRest && context_.executed.contains(arrival.request, context_.nowMs());
}

std::vector<RequestId> RequestDispatcher::executingRequests() const {
  std::vector<RequestId> ids;
  for (const RequestKey key : context_.requests.keys()) {
    const RequestState* request = context_.requests.find(key);
    if (request->facts.mayNotRunAgain())
      ids.push_back(request->id);
  }
  return ids;
}

std::optional<RequestKey> RequestDispatcher::submit(
    Arrival arrival,
    std::shared_ptr<const Payload> payload,
    std::shared_ptr<ResponseWriter> responseWriter) {
  if (isUnderWay(arrival.request) || mayHaveRun(arrival))
    return std::nullopt;
  ++context_.counters["requests.taken"];
  const RequestKey key =
      lifecycle_.beginRequest(arrival, std::move(payload), std::move(responseWriter));
  RequestState& request = *context_.requests.find(key);
  request.facts.deadlineMs = context_.nowMs() + toMs(arrival.timeLeft);
  request.overdue =
      context_.timers.schedule(request.facts.deadlineMs + answerGraceMs_ + kOverdueToleranceMs,
                               [this, key] { failOverdue(key); });
  loop_.post(std::move(arrival));
  return key;
}

// Fails a request that the decision module has left without a final answer.
void RequestDispatcher::failOverdue(RequestKey key) {
  RequestState* request = context_.requests.find(key);
  if (request == nullptr || !request->responseWriter || request->facts.streaming)
    return;
  ++context_.counters["requests.overdue"];
  const auto responseWriter = lifecycle_.concludeRequest(*request, RequestOutcome::kError);
  responseWriter->fail({.pastDeadline = true});
  lifecycle_.abandonRequest(key);
}

void RequestDispatcher::countSlowStart() {
  const SlowStartTotals& totals = loop_.slowStartTotals();
  if (totals == slowStartCounted_)
    return;
  slowStartCounted_ = totals;
  context_.counters["slow_start.sent"] = totals.sent;
  for (std::size_t i = 0; i < totals.denied.size(); ++i) {
    const std::string reason = nameOf(static_cast<SlowStartDenial>(i));
    context_.counters["slow_start.denied." + reason] = totals.denied[i];
  }
}

void RequestDispatcher::clientReady(RequestKey key) {
  const RequestState* request = context_.requests.find(key);
  if (request == nullptr || !request->facts.streaming)
    return;
  if (context_.requests.findAttempt(request->stream) != nullptr)
    context_.instanceClient->resume(request->stream);
}

// ---- From discovery and operators

void RequestDispatcher::list(EndpointListUpdate update) {
  context_.endpoints.apply(update, context_.nowMs());
  loop_.post(std::move(update));
}

void RequestDispatcher::beginShutdown(double graceMs, bool successorTakesStreams) {
  loop_.post(
      ShutdownStarted{.grace = toModule(graceMs), .successorTakesStreams = successorTakesStreams});
}

// ---- From instances

bool RequestDispatcher::needsNoHeldState(const RequestId& id) const {
  const RequestState* request = context_.requests.find(id);
  return request == nullptr || request->facts.streaming || !request->responseWriter;
}

bool RequestDispatcher::isOnlyAttempt(AttemptKey key) const {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  const RequestState* request =
      attempt != nullptr ? context_.requests.find(attempt->request) : nullptr;
  return request != nullptr && request->facts.effect == Effect::kAtMostOnce;
}

// The client is not asked about an attempt that will be cancelled, as another one is its stream.
bool RequestDispatcher::canRead(AttemptKey key, std::string_view part) {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return true;
  const RequestState* request = context_.requests.find(attempt->request);
  const bool hasOtherStream = request->facts.streaming && !attempt->streaming;
  if (!request->responseWriter || hasOtherStream)
    return true;
  return request->responseWriter->canRead(part);
}

bool RequestDispatcher::responseReceived(AttemptKey key, std::string_view part) {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return true;
  if (!attempt->streaming)
    return beginStream(key, part);
  const RequestState* request = context_.requests.find(attempt->request);
  if (!request->responseWriter)
    return true;
  const std::shared_ptr<ResponseWriter> responseWriter = request->responseWriter;
  return responseWriter->write(part);
}

// The first attempt whose response begins becomes the request's stream; any other one is cancelled.
bool RequestDispatcher::beginStream(AttemptKey key, std::string_view part) {
  AttemptState* attempt = context_.requests.findAttempt(key);
  RequestState* request = context_.requests.find(attempt->request);
  if (!request->responseWriter || request->facts.streaming) {
    lifecycle_.abortAttempt(key, AttemptOutcome::kCancelled);
    return true;
  }
  attempt->streaming = true;
  attempt->timeout.cancel();
  request->facts.streaming = true;
  request->stream = key;
  request->overdue.cancel();
  // The part is written before the decision module is notified: if the module migrated the stream
  // at once, the client's connection would be closed without any response.
  const std::shared_ptr<ResponseWriter> responseWriter = request->responseWriter;
  const bool clientReads = responseWriter->write(part);
  attempt = context_.requests.findAttempt(key);
  if (attempt != nullptr)
    loop_.post(StreamOpened{.request = context_.requests.find(attempt->request)->id,
                            .attempt = attempt->number,
                            .instance = attempt->instance,
                            .took = toModule(context_.nowMs() - attempt->startedMs)});
  return clientReads;
}

void RequestDispatcher::attemptWritten(AttemptKey key) {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return;
  const RequestState* request = context_.requests.find(attempt->request);
  if (request == nullptr)
    return;
  context_.metrics.attemptWritten(request->cls);
  guard_.checkWritten(*request, attempt->instance);
}

void RequestDispatcher::reservationAnswered(AttemptKey prefill,
                                            const InstanceId& instance,
                                            bool granted) {
  const AttemptState* attempt = context_.requests.findAttempt(prefill);
  if (attempt == nullptr)
    return;
  loop_.post(ReservationResult{.request = context_.requests.find(attempt->request)->id,
                               .attempt = attempt->number,
                               .instance = instance,
                               .granted = granted});
}

void RequestDispatcher::healthCheckEnded(const InstanceId& instance, double tookMs, bool healthy) {
  loop_.post(HealthCheckEnded{
      .instance = instance, .took = toModule(tookMs), .answered = healthy, .report = std::nullopt});
}

}  // namespace inference_router::core
