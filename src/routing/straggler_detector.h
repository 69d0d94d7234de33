// Finds attempts that an instance holds up or has lost, so that they can be cancelled and retried.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance_availability.h"
#include "routing/request_record.h"
#include "routing/retry_policy.h"

namespace inference_router::routing {

/// Whether so many later attempts at the same instance were answered well ahead of this one that
/// the instance has lost it.
bool isOvertaken(const AttemptRecord& attempt);

/// Notes in all attempts that are out at the same instance and were sent before `answered` if that
/// was well ahead of them for its size. Congestion holds up all alike, so it overtakes none. `took`
/// is how long the answer took.
void countOvertakenAttempts(RequestMap& requests,
                            const AttemptRecord& answered,
                            Duration took,
                            Time now);

/// Decides which attempts to cancel. Owns no state.
class StragglerDetector {
 public:
  /// All must outlive the object.
  StragglerDetector(const Settings& settings,
                    const InstanceAvailability& availability,
                    const RetryBudget& retryBudget)
      : settings_(settings), availability_(availability), retryBudget_(retryBudget) {}

  /// Whether the last attempt of a request that is prefilling or decoding is at a silent instance
  /// or was lost, and a retry elsewhere is allowed and possible.
  bool shouldCancel(const RequestRecord& request, Time now) const;

 private:
  bool mayCancel(const RequestRecord& request) const;

  const Settings& settings_;
  const InstanceAvailability& availability_;
  const RetryBudget& retryBudget_;
};

}  // namespace inference_router::routing
