// Which instances may be sent a request now.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance_registry.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"

namespace inference_router::routing {

/// Combines listing, ejection and silence of an instance. Owns no state; the last sign of life is
/// kept with the instance.
class InstanceAvailability {
 public:
  /// All must outlive the object.
  InstanceAvailability(const Settings& settings,
                       const InstanceRegistry& registry,
                       const ServiceEstimates& estimates)
      : settings_(settings), registry_(registry), estimates_(estimates) {}

  /// Whether attempts are out there and none has shown a sign for much longer than usual. A hang, a
  /// one-way network fault and congestion look alike, and all are avoided while they last.
  bool isSilent(const Instance& instance, Time now) const;

  /// Whether it is listed, not silent, and not ejected or due for a trial.
  bool isUsable(const Instance& instance, Time now) const;

  /// Whether it is usable for this request: not excluded by it, with memory for its prompt.
  bool isEligible(const RequestRecord& request, const Instance& instance, Time now) const;

  /// Whether another instance that does the same step is eligible for the request.
  bool hasAlternative(const RequestRecord& request, const Instance& instance, Time now) const;

  /// An attempt was sent there.
  static void recordDispatch(Instance& instance, Time now);

  /// An attempt there has shown a sign: a token, or its end.
  static void recordActivity(Instance& instance, Time now);

 private:
  const Settings& settings_;
  const InstanceRegistry& registry_;
  const ServiceEstimates& estimates_;
};

}  // namespace inference_router::routing
