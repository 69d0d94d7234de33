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
    if (!pieces_.empty() && atMs < pieces_.back().atMs + kMergeMs)
      pieces_.back().bytes += bytes;
    else
      pieces_.push_back({bytes, atMs});
    bytes_ += bytes;
  }

  /// The first so many bytes have left the buffer.
  void remove(std::size_t bytes) {
    bytes = std::min(bytes, bytes_);
    bytes_ -= bytes;
    while (bytes > 0) {
      const std::size_t part = std::min(bytes, pieces_.front().bytes);
      pieces_.front().bytes -= part;
      bytes -= part;
      if (pieces_.front().bytes == 0)
        pieces_.pop_front();
    }
  }

  bool empty() const { return pieces_.empty(); }
  std::size_t bytes() const { return bytes_; }
  /// Of the first byte; there has to be one.
  double firstMs() const { return pieces_.front().atMs; }

 private:
  static constexpr double kMergeMs = 20;
  struct Piece {
    std::size_t bytes;
    double atMs;
  };
  std::deque<Piece> pieces_;
  std::size_t bytes_ = 0;
};

}  // namespace inference_router::net
