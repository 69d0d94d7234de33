// Ends or migrates the requests of a node during its shutdown grace period.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "inference_router/types.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Migrates streams gradually during a part of the grace period, so that they are not all cut off
/// when the process is killed, and gives requests that have no stream yet their final answer before
/// the grace period ends.
class GracefulShutdown {
 public:
  /// Requests to act on in one step.
  struct Step {
    std::vector<RequestId> toFinish;   ///< requests without a stream: to be given a final answer
    std::vector<RequestId> toMigrate;  ///< streams to migrate, the longest answers first
  };

  /// Begins the shutdown, or changes the grace period of one that has begun.
  void begin(Time now, Duration gracePeriod);

  bool hasBegun() const { return begunAt_.has_value(); }

  /// Whether a request that arrives now may not end before the process is killed. `clientsResume`:
  /// whether clients resume a stream at another node.
  bool rejectsArrivals(bool clientsResume, Time now) const;

  /// Returns the next step. begin() must have been called. `mayMigrate`: whether clients resume a
  /// stream at another node.
  Step next(const RequestMap& requests, bool mayMigrate, Time now);

 private:
  std::optional<Time> begunAt_;
  Duration gracePeriod_{};
  std::size_t maxStreams_ = 0;  ///< largest number of streams since migration began
};

}  // namespace inference_router::routing
