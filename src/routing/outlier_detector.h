// Ejection of instances that fail more often than their peers (outlier detection).
#pragma once

#include <optional>
#include <string>

#include "inference_router/types.h"
#include "routing/instance_registry.h"

namespace inference_router::routing {

/// Why an attempt counts against its instance.
enum class FailureReason {
  kErrors,
  kNoAnswers,     ///< timed out
  kNoConnection,  ///< could not be reached: ejects at the first failure
  kLostConnections,
  kSilent  ///< cancelled by this node, as nothing was heard of it
};

/// Counts successes and failures of an instance, ejects it when its failure rate is too high, and
/// reinstates it after trials that succeed. The state is kept with the instance.
class OutlierDetector {
 public:
  /// `registry` must outlive the detector.
  explicit OutlierDetector(const InstanceRegistry& registry) : registry_(registry) {}

  /// Records that an attempt sent at `sentAt` has succeeded. Returns the text for the log if that
  /// ends an ejection.
  std::optional<std::string> recordSuccess(Instance& instance, Time sentAt, Time now) const;

  /// Records that an attempt sent at `sentAt` has failed. Returns the text for the log if the
  /// instance is newly ejected.
  std::optional<std::string> recordFailure(Instance& instance,
                                           Time sentAt,
                                           FailureReason reason,
                                           Time now) const;

 private:
  double allowedFailureRate(const Instance& instance) const;

  const InstanceRegistry& registry_;
};

}  // namespace inference_router::routing
