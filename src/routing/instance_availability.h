// Determines which instances can be sent a request.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance_registry.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"

namespace inference_router::routing {

/// Combines listing, ejection and silence of an instance. Stateless: the time of the last response
/// is stored in the instance.
class InstanceAvailability {
 public:
  /// All must outlive the object.
  InstanceAvailability(const Settings& settings,
                       const InstanceRegistry& registry,
                       const ServiceEstimates& estimates)
      : settings_(settings), registry_(registry), estimates_(estimates) {}

  /// Whether the instance has attempts in flight and has not responded for much longer than usual.
  /// A hang, a one-way network fault and congestion cannot be told apart here; the instance is
  /// avoided in all three cases while the condition lasts.
  bool isSilent(const Instance& instance, Time now) const;

  /// Whether the instance is listed, not silent, and either not ejected or due for a trial.
  bool isUsable(const Instance& instance, Time now) const;

  /// Whether the instance is usable for this request: it has not failed the request before, and the
  /// prompt fits into its memory.
  bool isEligible(const RequestRecord& request, const Instance& instance, Time now) const;

  /// Whether another instance that can do the same step is eligible for the request.
  bool hasAlternative(const RequestRecord& request, const Instance& instance, Time now) const;

  /// Records that an attempt was sent to the instance.
  static void recordDispatch(Instance& instance, Time now);

  /// Records activity of an attempt at the instance: its first token or its end.
  static void recordActivity(Instance& instance, Time now);

 private:
  const Settings& settings_;
  const InstanceRegistry& registry_;
  const ServiceEstimates& estimates_;
};

}  // namespace inference_router::routing
