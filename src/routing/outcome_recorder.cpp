#include "routing/outcome_recorder.h"

#include <optional>
#include <string>
#include <utility>

#include "routing/instance_availability.h"
#include "routing/straggler_detector.h"

namespace inference_router::routing {
namespace {

// Returns why the outcome counts as a failure of the instance, or nothing if it does not.
std::optional<FailureReason> failureOf(const AttemptRecord& attempt, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kError:
      return FailureReason::kErrors;
    case AttemptOutcome::kTimeout:
      return FailureReason::kNoAnswers;
    case AttemptOutcome::kConnectFailed:
      return FailureReason::kNoConnection;
    case AttemptOutcome::kConnectionLost:
      // One lost connection does not predict the next failure: an instance that has failed also
      // refuses the next connection. It does not count if this node cancelled or migrated the
      // attempt.
      if (attempt.cancelled)
        return std::nullopt;
      return FailureReason::kLostConnections;
    default:
      return std::nullopt;
  }
}

}  // namespace

void OutcomeRecorder::recordFirstToken(AttemptRecord& attempt,
                                       Duration took,
                                       RequestMap& requests,
                                       EventContext& context) {
  // A time that includes a prefill at the same instance is not a sample of the decode response
  // time.
  recordActivity(attempt, took, attempt.inFlight && attempt.prefillTokens <= 0, context.now());
  recordSuccess(attempt, context);
  countOvertakenAttempts(requests, attempt, took, context.now());
  attempt.instance->prefillTokens -= std::exchange(attempt.prefillTokens, 0);
}

void OutcomeRecorder::recordEnd(const RequestRecord& request,
                                AttemptRecord& attempt,
                                const AttemptEnded& ended,
                                RequestMap& requests,
                                EventContext& context) {
  const Time now = context.now();
  const bool prefilled = ended.outcome == AttemptOutcome::kPrefilled;
  if (!request.firstTokenAt)
    recordActivity(attempt, ended.took, prefilled, now);
  attempt.inFlight = false;
  if (prefilled)
    countOvertakenAttempts(requests, attempt, ended.took, now);
  attempt.instance->prefillTokens -= attempt.prefillTokens;
  if (prefilled)
    estimates_.recordPrefill(request, attempt, ended, now);
  recordPrefillOutcome(request, attempt, ended, now);
  if (prefilled)
    recordSuccess(attempt, context);
  if (const auto reason = failureOf(attempt, ended.outcome))
    recordFailure(attempt, *reason, context);
  attempt.provedNotExecuted = provesNotExecuted(ended.outcome, ended.doubtful);
}

// A prefill that timed out or was cancelled was queued for at least that long, so it is a sample of
// the queueing delay as well: congestion must be detected even if no prefill ends.
void OutcomeRecorder::recordPrefillOutcome(const RequestRecord& request,
                                           const AttemptRecord& attempt,
                                           const AttemptEnded& ended,
                                           Time now) {
  const bool hadPrefill = attempt.prefillTokens > 0;
  const bool prefilled = ended.outcome == AttemptOutcome::kPrefilled;
  const bool tooLate =
      ended.outcome == AttemptOutcome::kTimeout || ended.outcome == AttemptOutcome::kCancelled;
  if (hadPrefill && tooLate && !isOvertaken(attempt))
    ServiceEstimates::recordQueueingDelay(*attempt.instance, ended.took, now);
  const bool isInformative =
      hadPrefill && (tooLate || prefilled || ended.outcome == AttemptOutcome::kRejected);
  shedder_.recordPrefillOutcome(isInformative, prefilled && now < request.objectiveAt, now);
}

void OutcomeRecorder::recordActivity(const AttemptRecord& attempt,
                                     Duration took,
                                     bool countsAsResponse,
                                     Time now) {
  if (countsAsResponse)
    estimates_.recordResponse(attempt.instance->role, took, now);
  InstanceAvailability::recordActivity(*attempt.instance, now);
}

void OutcomeRecorder::recordSuccess(const AttemptRecord& attempt, EventContext& context) const {
  const auto logLine =
      outlierDetector_.recordSuccess(*attempt.instance, attempt.sentAt, context.now());
  if (logLine)
    context.log(*logLine);
}

void OutcomeRecorder::recordFailure(const AttemptRecord& attempt,
                                    FailureReason reason,
                                    EventContext& context) const {
  const auto logLine =
      outlierDetector_.recordFailure(*attempt.instance, attempt.sentAt, reason, context.now());
  if (logLine)
    context.log(*logLine);
}

}  // namespace inference_router::routing
