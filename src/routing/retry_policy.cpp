#include "routing/retry_policy.h"

#include <algorithm>

#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Retries that each arrival adds to the budget.
constexpr double kRetriesPerArrival = 0.3;
// Timeout of an attempt that may be followed by another, as a share of the time to the deadline.
constexpr double kMaxAttemptTimeShare = 0.6;

}  // namespace

void RetryBudget::recordArrival(double recentArrivals) {
  const double earned = kRetriesPerArrival * recentArrivals + 1;
  tokens_ = std::min({kMaxTokens, tokens_ + kRetriesPerArrival, earned});
}

bool hasAttemptsLeft(const Settings& settings, const RequestRecord& request, int count) {
  return static_cast<int>(request.attempts.size()) + count <= settings.limits.maxAttempts;
}

Time attemptTimeoutAt(const Settings& settings,
                      const RequestRecord& request,
                      const Instance& instance,
                      Time now) {
  const bool isLast = !hasAttemptsLeft(settings, request, kAttemptsFromStart);
  const bool onlyOnce =
      classOf(settings, request).effect == Effect::kAtMostOnce && instance.role != Role::kPrefill;
  if (isLast || onlyOnce)
    return request.deadline;
  return now + scaled(request.deadline - now, kMaxAttemptTimeShare);
}

}  // namespace inference_router::routing
