#include "core/stream_migration.h"

#include <utility>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

// Before a stream is aborted, it is checked at this interval until everything that has arrived is
// passed on to its client. A slow client can delay the abort for at most kMaxUnreadChecks
// intervals.
constexpr double kUnreadCheckIntervalMs = 5;
constexpr int kMaxUnreadChecks = 20;

}  // namespace

std::vector<RequestKey> StreamMigration::streams() const {
  std::vector<RequestKey> found;
  for (const RequestKey key : context_.requests.keys())
    if (streamOf(key))
      found.push_back(key);
  return found;
}

std::optional<OpenStream> StreamMigration::streamOf(RequestKey key) const {
  const RequestState* request = context_.requests.find(key);
  if (request == nullptr || !request->responseWriter || !request->facts.streaming ||
      request->attemptsInFlight != 1)
    return std::nullopt;
  const AttemptState* attempt = context_.requests.findAttempt(request->stream);
  if (attempt == nullptr)
    return std::nullopt;
  return OpenStream{.request = key,
                    .attempt = request->stream,
                    .arrival = request->arrival,
                    .instance = attempt->instance};
}

void StreamMigration::handedOver(RequestKey key) {
  RequestState* request = context_.requests.find(key);
  if (request == nullptr || !request->responseWriter)
    return;
  const AttemptKey stream = request->stream;
  lifecycle_.concludeRequest(*request, RequestOutcome::kHandedOver);
  lifecycle_.endAttempt(stream, {.outcome = AttemptOutcome::kCancelled});
}

std::optional<OpenStream> StreamMigration::adopt(const Arrival& arrival,
                                                 const InstanceId& instance,
                                                 std::shared_ptr<ResponseWriter> responseWriter) {
  if (context_.requests.contains(arrival.request))
    return std::nullopt;
  ++context_.counters["requests.adopted"];
  const RequestKey key =
      lifecycle_.beginRequest(arrival, /*payload=*/nullptr, std::move(responseWriter));
  AttemptState attempt;
  attempt.request = key;
  attempt.instance = instance;
  attempt.startedMs = context_.nowMs();
  attempt.streaming = true;
  const AttemptKey stream = context_.requests.addAttempt(std::move(attempt));
  RequestState& request = *context_.requests.find(key);
  request.stream = stream;
  request.facts.streaming = true;
  request.facts.attempts.push_back({.instance = instance.value, .sentMs = context_.nowMs()});
  loop_.post(StreamAdopted{.arrival = arrival, .instance = instance});
  return OpenStream{.request = key, .attempt = stream, .arrival = arrival, .instance = instance};
}

void StreamMigration::migrate(const MigrateStream& action) {
  const RequestState* request = context_.requests.find(action.request);
  if (request != nullptr && request->facts.streaming)
    abortOnceRead(request->stream, kMaxUnreadChecks);
}

// What has arrived is passed on first, as it may contain the end of a stream that the instance has
// finished.
void StreamMigration::abortOnceRead(AttemptKey key, int remainingChecks) {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return;
  const RequestState* request = context_.requests.find(attempt->request);
  if (request->responseWriter && remainingChecks > 0 &&
      context_.instanceClient->hasUnreadResponse(key)) {
    context_.timers.runAt(context_.nowMs() + kUnreadCheckIntervalMs, [this, key, remainingChecks] {
      abortOnceRead(key, remainingChecks - 1);
    });
    return;
  }
  lifecycle_.abortAttempt(key, AttemptOutcome::kConnectionLost);
}

}  // namespace inference_router::core
