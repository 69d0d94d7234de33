/// Timeouts of the watch on discovery, and the backoff between retries. No I/O; times in
/// milliseconds.
///
/// A change counts as delivered kDeliveryLimitMs after discovery had it and was reachable, whatever
/// failed before. The timeouts therefore add up to less in the worst order of events:
///
///   the watch falls silent as something changes:  kWatchTimeoutMs + initial delay + kCallTimeoutMs
///   a call hangs as discovery comes back:         kCallTimeoutMs + longest delay + kCallTimeoutMs
///   half a line, then nothing:                    as a silent watch, from the last byte on
///   discovery moves to another address (4 s):     kCallTimeoutMs + initial delay + kCallTimeoutMs
///
/// These sums are kWorstSilentWatchMs, kWorstHungCallMs and kWorstMoveMs; tests play the orders.
/// Data on the watch resets the backoff.
///
/// Many nodes that retry quickly can keep an overloaded discovery down. The delays therefore double
/// with each failure up to kMaxMs, are jittered, and start longer in a larger fleet.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace inference_router::fleet {

/// The delay before the next retry. One object per watch.
class DiscoveryBackoff {
 public:
  static constexpr double kDeliveryLimitMs = 6'000;  ///< kept free for scheduling delays
  static constexpr double kMarginMs = 300;
  static constexpr double kWatchTimeoutMs = 2'600;  ///< discovery sends an empty line every 2 s
  static constexpr double kConnectTimeoutMs = 500;
  static constexpr double kFirstByteTimeoutMs =
      1'000;                                    ///< discovery sends its state when a watch opens
  static constexpr double kJitterShare = 0.5;   ///< of the mean delay, to either side
  static constexpr double kMaxInitialMs = 460;  ///< bound of the initial mean delay
  static constexpr double kMaxMs = 1'800;       ///< bound of any mean delay

  static constexpr double kCallTimeoutMs = kConnectTimeoutMs + kFirstByteTimeoutMs;
  static constexpr double kWorstSilentWatchMs =
      kWatchTimeoutMs + kMaxInitialMs * (1 + kJitterShare) + kCallTimeoutMs;
  static constexpr double kWorstHungCallMs =
      kCallTimeoutMs + kMaxMs * (1 + kJitterShare) + kCallTimeoutMs;
  static constexpr double kWorstMoveMs =
      kCallTimeoutMs + kMaxInitialMs * (1 + kJitterShare) + kCallTimeoutMs;
  static_assert(kWorstSilentWatchMs <= kDeliveryLimitMs - kMarginMs &&
                kWorstHungCallMs <= kDeliveryLimitMs - kMarginMs);
  static_assert(kWorstMoveMs <= 4'000 - kMarginMs);

  /// nodes: size of the fleet; seed: of the jitter.
  DiscoveryBackoff(int nodes, std::uint64_t seed)
      : initialMs_(std::clamp(nodes * kInitialPerNodeMs, kInitialMs, kMaxInitialMs)),
        meanMs_(initialMs_),
        random_(seed) {}

  /// The delay before the next retry after a failure; doubles the mean.
  double nextDelayMs() {
    const double delayMs =
        meanMs_ * std::uniform_real_distribution<>(1 - kJitterShare, 1 + kJitterShare)(random_);
    meanMs_ = std::min(kMaxMs, meanMs_ * 2);
    return delayMs;
  }
  /// After a success.
  void reset() { meanMs_ = initialMs_; }

 private:
  // Bounded by kMaxInitialMs in any fleet, as a move of discovery allows 4 s in total.
  static constexpr double kInitialMs = 100, kInitialPerNodeMs = 5;

  double initialMs_, meanMs_;
  std::mt19937_64 random_;
};

}  // namespace inference_router::fleet
