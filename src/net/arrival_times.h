/// Arrival times of buffered bytes. A request's time counts from the arrival of its first byte,
/// even if it waits behind earlier requests before it is read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

namespace inference_router::net {

/// A queue of byte counts with their arrival times, in milliseconds of the monotonic clock.
class ArrivalTimes {
 public:
  /// Appends bytes that arrived at atMs. Bytes that arrive within kMergeWindowMs share one entry,
  /// which bounds the number of entries.
  void add(std::size_t bytes, double atMs) {
    if (bytes == 0)
      return;
    if (!segments_.empty() && atMs < segments_.back().atMs + kMergeWindowMs)
      segments_.back().bytes += bytes;
    else
      segments_.push_back({bytes, atMs});
    bytes_ += bytes;
  }

  /// Removes the first bytes, which have left the buffer.
  void remove(std::size_t bytes) {
    bytes = std::min(bytes, bytes_);
    bytes_ -= bytes;
    while (bytes > 0) {
      const std::size_t removed = std::min(bytes, segments_.front().bytes);
      segments_.front().bytes -= removed;
      bytes -= removed;
      if (segments_.front().bytes == 0)
        segments_.pop_front();
    }
  }

  bool empty() const { return segments_.empty(); }
  std::size_t bytes() const { return bytes_; }
  /// Arrival time of the first byte. Must not be empty.
  double firstMs() const { return segments_.front().atMs; }

 private:
  static constexpr double kMergeWindowMs = 20;
  struct Segment {
    std::size_t bytes;
    double atMs;
  };
  std::deque<Segment> segments_;
  std::size_t bytes_ = 0;
};

}  // namespace inference_router::net
