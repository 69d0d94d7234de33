// Outlier detection: ejects instances that fail more often than their peers.
#pragma once

#include <optional>
#include <string>

#include "inference_router/types.h"
#include "routing/instance_registry.h"

namespace inference_router::routing {

/// Why an attempt counts as a failure of its instance.
enum class FailureReason {
  kErrors,
  kNoAnswers,     ///< the attempt timed out
  kNoConnection,  ///< the instance was unreachable: ejects it at the first failure
  kLostConnections,
  kSilent  ///< this node cancelled the attempt because it got no response
};

/// Records successes and failures of instances, ejects an instance when its failure rate is too
/// high and reinstates it after successful trials. The state is stored in the instance.
class OutlierDetector {
 public:
  /// `registry` must outlive the detector.
  explicit OutlierDetector(const InstanceRegistry& registry) : registry_(registry) {}

  /// Records that an attempt sent at `sentAt` succeeded. Returns a log message if that ends an
  /// ejection.
  std::optional<std::string> recordSuccess(Instance& instance, Time sentAt, Time now) const;

  /// Records that an attempt sent at `sentAt` failed. Returns a log message if the instance is
  /// newly ejected.
  std::optional<std::string> recordFailure(Instance& instance,
                                           Time sentAt,
                                           FailureReason reason,
                                           Time now) const;

 private:
  double allowedFailureRate(const Instance& instance) const;

  const InstanceRegistry& registry_;
};

}  // namespace inference_router::routing
