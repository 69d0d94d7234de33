#include "core/request_guard.h"

#include <string>

namespace inference_router::core {

using routing::InstanceId;

bool RequestGuard::maySend(AttemptKey key) {
  const Permit permit = permitOf(key);
  if (permit != Permit::kAllowed)
    ++context_.counters[std::string("attempts.denied.") + nameOf(permit)];
  return permit == Permit::kAllowed;
}

Permit RequestGuard::permitOf(AttemptKey key) {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return Permit::kAnswered;
  const RequestKey requestKey = attempt->request;
  const RequestState& request = *context_.requests.find(requestKey);
  return context_.permits.attempt(
      request.facts, context_.endpoints.find(attempt->instance), toMs(attempt->retryWindowEnd),
      context_.nowMs(), [this, requestKey] { return lifecycle_.clientPresent(requestKey); });
}

bool RequestGuard::mayReserve(const InstanceId& instance) const {
  const InstanceFacts* facts = context_.endpoints.find(instance);
  return context_.permits.toInstance(facts, context_.nowMs()) == Permit::kAllowed;
}

bool RequestGuard::attemptIsWanted(AttemptKey key) {
  const AttemptState* attempt = context_.requests.findAttempt(key);
  if (attempt == nullptr)
    return false;
  const RequestKey requestKey = attempt->request;
  const RequestState* request = context_.requests.find(requestKey);
  return request != nullptr && context_.nowMs() < request->facts.deadlineMs &&
         lifecycle_.clientPresent(requestKey);
}

void RequestGuard::checkAttempt(const RequestState& request) const {
  report(context_.permits.checkAttempt(request.facts), request);
}

void RequestGuard::checkWritten(const RequestState& request, const InstanceId& instance) const {
  const InstanceFacts* facts = context_.endpoints.find(instance);
  report(context_.permits.checkWritten(request.facts, facts, context_.nowMs()), request);
}

void RequestGuard::checkRejection(const RequestState& request) const {
  report(context_.permits.checkRejection(request.facts), request);
}

// A violation is a fault of this program, so it is logged with the request's history.
void RequestGuard::report(const std::vector<Violation>& violations,
                          const RequestState& request) const {
  for (const Violation violation : violations) {
    ++context_.counters[std::string("invariants.violated.") + nameOf(violation)];
    context_.log(std::string("invariant violated: ") + nameOf(violation) + " by request " +
                 request.id.value + ": " + historyOf(request.facts, context_.nowMs()));
  }
}

}  // namespace inference_router::core
