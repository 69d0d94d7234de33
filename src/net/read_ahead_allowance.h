/// Limits the reading ahead of all connections of a listener together, so that clients that never
/// stop sending do not monopolize the event loop. No I/O. Not thread-safe.
#pragma once

#include <cstddef>

#include "core/clock.h"

namespace inference_router::net {

class ReadAheadAllowance {
 public:
  /// What may be used is renewed so often.
  static constexpr double kIntervalMs = 20;
  /// In each interval.
  static constexpr std::size_t kMaxBytes = std::size_t{32} * 1024 * 1024;
  /// Parsing a small request takes as long as reading so many bytes.
  static constexpr std::size_t kBytesPerRequest = std::size_t{16} * 1024;

  /// The clock outlives the allowance.
  explicit ReadAheadAllowance(const core::Clock& clock) : clock_(clock) {}

  /// Whether nothing more may be read ahead in this interval.
  bool isUsedUp() {
    if (clock_.nowMs() - renewedMs_ >= kIntervalMs) {
      renewedMs_ = clock_.nowMs();
      usedBytes_ = 0;
    }
    return usedBytes_ >= kMaxBytes;
  }
  /// Bytes were read, in which so many requests began that were parsed.
  void use(std::size_t bytes, std::size_t parsedRequests) {
    usedBytes_ += bytes + parsedRequests * kBytesPerRequest;
  }

 private:
  const core::Clock& clock_;
  double renewedMs_ = 0;
  std::size_t usedBytes_ = 0;
};

}  // namespace inference_router::net
