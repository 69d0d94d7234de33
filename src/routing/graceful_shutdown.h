// Ends or migrates the requests of a node during its shutdown grace period.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "inference_router/types.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Decides for each request of a process that ends whether it is served, rejected on arrival, given
/// its final answer, or migrated, and when. A request that has no stream near the end of the grace
/// period gets its final answer then, whatever else replaces this process: only a stream can be
/// taken over. Streams are migrated gradually during a part of the grace period, so that they are
/// not all cut off when the process is killed.
class GracefulShutdown {
 public:
  /// Requests to act on in one step.
  struct Step {
    std::vector<RequestId> toFinish;   ///< requests without a stream: to be given a final answer
    std::vector<RequestId> toMigrate;  ///< streams to migrate, the longest answers first
  };

  /// Begins the shutdown, or changes the grace period or the successor of one that has begun.
  /// `successorTakesStreams`: whether another process takes over each stream once it is open.
  void begin(Time now, Duration gracePeriod, bool successorTakesStreams);

  bool hasBegun() const { return begunAt_.has_value(); }

  /// Whether the stream of a request that arrives now may be cut off when the process is killed, so
  /// that the request is better served elsewhere. `clientsResume`: whether clients resume a stream
  /// at another node.
  bool rejectsArrivals(bool clientsResume, Time now) const;

  /// Returns the next step. begin() must have been called. `mayMigrate`: whether clients resume a
  /// stream at another node.
  Step next(const RequestMap& requests, bool mayMigrate, Time now);

 private:
  std::optional<Time> begunAt_;
  Duration gracePeriod_{};
  bool successorTakesStreams_ = false;
  std::size_t maxStreams_ = 0;  ///< largest number of streams since migration began
};

}  // namespace inference_router::routing
