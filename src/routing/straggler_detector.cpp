#include "routing/straggler_detector.h"

#include <algorithm>

#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Number of later attempts, answered well before an attempt, after which it is considered lost.
constexpr int kMinOvertakes = 3;
// Minimum age of an overtaken attempt, as a multiple of the time that the later one took, scaled by
// their relative size.
constexpr double kMinOvertakenTimes = 2;
// Minimum age of an attempt at a silent instance, as a share of the time from the arrival to the
// latency objective.
constexpr double kMinObjectiveShare = 0.5;

}  // namespace

bool isOvertaken(const AttemptRecord& attempt) {
  return attempt.overtakenCount >= kMinOvertakes;
}

void countOvertakenAttempts(RequestMap& requests,
                            const AttemptRecord& answered,
                            Duration took,
                            Time now) {
  for (auto& [id, request] : requests) {
    if (request.phase != Phase::kPrefilling && request.phase != Phase::kDecoding)
      continue;
    AttemptRecord& attempt = request.attempts.back();
    const bool wasBehind = attempt.inFlight && attempt.instance == answered.instance &&
                           attempt.sentAt < answered.sentAt;
    if (!wasBehind)
      continue;
    const double relativeSize =
        std::max(1.0, (attempt.prefillTokens + 1) / (answered.prefillTokens + 1));
    if (now - attempt.sentAt > scaled(took, relativeSize * kMinOvertakenTimes))
      ++attempt.overtakenCount;
  }
}

bool StragglerDetector::shouldCancel(const RequestRecord& request, Time now) const {
  if (!mayCancel(request))
    return false;
  const AttemptRecord& attempt = request.attempts.back();
  const bool isOverdue =
      now - attempt.sentAt >= scaled(request.objectiveAt - request.arrivedAt, kMinObjectiveShare);
  const bool isLost = isOvertaken(attempt) && (isOverdue || !attempt.decodes);
  const bool isStuck = isLost || (isOverdue && availability_.isSilent(*attempt.instance, now));
  return isStuck && availability_.hasAlternative(request, *attempt.instance, now);
}

bool StragglerDetector::mayCancel(const RequestRecord& request) const {
  const AttemptRecord& attempt = request.attempts.back();
  if (!settings_.limits.cancel || !retryBudget_.isAvailable())
    return false;
  if (!attempt.inFlight || attempt.cancelled)
    return false;
  return !attempt.decodes || classOf(settings_, request).effect != Effect::kAtMostOnce;
}

}  // namespace inference_router::routing
