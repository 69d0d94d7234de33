/// When the bytes that wait in a buffer came: a request's time counts from when its client sent it,
/// however long it stood behind earlier ones.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

namespace inference_router::net {

/// Times in milliseconds of the monotonic clock.
class ArrivalTimes {
 public:
  /// So many bytes more. What comes within a moment counts as come together, which bounds the
  /// entries.
  void add(std::size_t bytes, double atMs) {
    if (bytes == 0)
      return;
    if (!segments_.empty() && atMs < segments_.back().atMs + kMergeWindowMs)
      segments_.back().bytes += bytes;
    else
      segments_.push_back({bytes, atMs});
    bytes_ += bytes;
  }

  /// The first so many bytes have left the buffer.
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
  /// Of the first byte; there has to be one.
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
