// What a node that shuts down does with its requests during the grace period.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "inference_router/types.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Migrates streams over a part of the grace period, so that they do not all break when the process
/// is killed, and gives requests without a stream their final answer before its end.
class GracefulShutdown {
 public:
  /// What is to be done now.
  struct Step {
    std::vector<RequestId> toFinish;   ///< requests without a stream
    std::vector<RequestId> toMigrate;  ///< streams, the longest first
  };

  /// Begins, or changes the grace period of a shutdown that has begun.
  void begin(Time now, Duration gracePeriod);

  bool hasBegun() const { return begunAt_.has_value(); }

  /// The next step; begin() must have been called. `mayMigrate` says whether a stream may go on
  /// elsewhere.
  Step next(const RequestMap& requests, bool mayMigrate, Time now);

 private:
  std::optional<Time> begunAt_;
  Duration gracePeriod_{};
  std::size_t maxStreams_ = 0;  ///< most streams seen since migration began
};

}  // namespace inference_router::routing
