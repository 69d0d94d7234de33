// Detects attempts that an instance delays or has lost, so that they can be cancelled and retried.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance_availability.h"
#include "routing/request_record.h"
#include "routing/retry_policy.h"

namespace inference_router::routing {

/// Whether so many later attempts at the same instance were answered well before this one that the
/// instance must have lost it.
bool isOvertaken(const AttemptRecord& attempt);

/// Counts, for each earlier attempt in flight at the same instance, whether `answered` was answered
/// well before it, considering their sizes. Congestion delays all attempts equally, so it does not
/// count as overtaking. `took` is the time from the dispatch of `answered` to its answer.
void countOvertakenAttempts(RequestMap& requests,
                            const AttemptRecord& answered,
                            Duration took,
                            Time now);

/// Decides which attempts to cancel. Stateless.
class StragglerDetector {
 public:
  /// All must outlive the object.
  StragglerDetector(const Settings& settings,
                    const InstanceAvailability& availability,
                    const RetryBudget& retryBudget)
      : settings_(settings), availability_(availability), retryBudget_(retryBudget) {}

  /// Whether the last attempt of a request in phase kPrefilling or kDecoding is at a silent
  /// instance or lost, and a retry at another instance is allowed and possible.
  bool shouldCancel(const RequestRecord& request, Time now) const;

 private:
  bool mayCancel(const RequestRecord& request) const;

  const Settings& settings_;
  const InstanceAvailability& availability_;
  const RetryBudget& retryBudget_;
};

}  // namespace inference_router::routing
