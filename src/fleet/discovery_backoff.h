/// Timeouts of the watch on discovery, and the backoff between retries. No I/O; times in
/// milliseconds.
///
/// Every change has to be delivered within kDeliveryLimitMs of the moment at which discovery has it
/// and is reachable, whatever failed before. The timeouts therefore add up to less than that in the
/// worst sequences of events:
///
///   the watch stops responding as a change occurs:
///       kWatchTimeoutMs + initial delay + kCallTimeoutMs
///   the watch stops in the middle of a line:
///       the same, counted from the last byte
///   a call hangs while discovery recovers:
///       kCallTimeoutMs + longest delay + kCallTimeoutMs
///   discovery moves to another address, which allows 4 s:
///       kCallTimeoutMs + initial delay + kCallTimeoutMs
///
/// These sums are kWorstSilentWatchMs, kWorstHungCallMs and kWorstMoveMs. Data on the watch resets
/// the backoff.
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
  static constexpr double kDeliveryLimitMs = 6'000;
  static constexpr double kMarginMs = 300;          ///< of the limits, for scheduling delays
  static constexpr double kWatchTimeoutMs = 2'600;  ///< discovery sends an empty line every 2 s
  static constexpr double kConnectTimeoutMs = 500;
  /// Discovery sends its state when a watch opens.
  static constexpr double kFirstByteTimeoutMs = 1'000;
  static constexpr double kJitterShare = 0.5;   ///< of the mean delay, in both directions
  static constexpr double kMaxInitialMs = 460;  ///< upper bound of the initial mean delay
  static constexpr double kMaxMs = 1'800;       ///< upper bound of every mean delay

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

  /// nodes: number of nodes in the fleet; seed: of the jitter.
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
  /// Returns to the initial delay; called after a success.
  void reset() { meanMs_ = initialMs_; }

 private:
  // The initial mean delay: kInitialPerNodeMs for each node, at least kInitialMs and at most
  // kMaxInitialMs, as a move of discovery to another address allows 4 s in total.
  static constexpr double kInitialMs = 100, kInitialPerNodeMs = 5;

  double initialMs_, meanMs_;
  std::mt19937_64 random_;
};

}  // namespace inference_router::fleet
