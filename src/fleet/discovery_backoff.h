/// Timeouts of the calls to discovery, and the times between calls while the endpoint list is
/// unconfirmed. No I/O; times in milliseconds.
///
/// What discovery has when it can be reached again counts as known at once, and instances that
/// drain get nothing new after the drain grace period. A call that began before may never be
/// answered, so the next one begins within maxGapMs() of its start, whatever becomes of it:
///
///   discovery returns just after a call began:
///       maxGapMs(), and the next call itself
///
/// The rest of the grace period is for that call, and for a process that is held up.
///
/// An error response comes from a discovery that can be reached and is overloaded; a fleet that
/// calls at this pace would keep it down. Delays after errors grow further in a large fleet, and in
/// any fleet after kDenseErrors in a row or after calls without a response: the whole fleet calls
/// as discovery returns. A change counts as known kDeliveryLimitMs after it could be fetched:
///
///   errors while discovery recovers:
///       longest delay after an error + the longest gap, and the next call itself
///   the watch stops responding as a change occurs, also in the middle of a line:
///       kWatchTimeoutMs + maxGapMs(), and the next call itself
///
/// A call that has been sent and waits is a sign of a discovery that is slow, whose queue newer
/// calls make longer: beside one, a large fleet calls less often.
///
/// All delays are jittered. Data on the watch resets them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace inference_router::fleet {

/// The time until the next call. One object per router.
class DiscoveryBackoff {
 public:
  static constexpr double kDeliveryLimitMs = 6'000;
  static constexpr double kMarginMs = 300;          ///< of that limit, for scheduling delays
  static constexpr double kWatchTimeoutMs = 2'600;  ///< discovery sends an empty line every 2 s
  static constexpr double kConnectTimeoutMs = 500;
  /// From the start of a call to its first byte. Calls that begin meanwhile run beside it: a
  /// discovery that is slow answers the one that has waited longest first.
  static constexpr double kAnswerTimeoutMs = 5'000;
  static constexpr double kJitterShare = 0.5;       ///< of the mean delay, in both directions
  static constexpr double kMaxErrorMeanMs = 1'800;  ///< upper bound of mean delays after errors
  /// Some 15 s at a drain grace period of 1 s, for outages with error responses.
  static constexpr int kDenseErrors = 40;
  /// Of the drain grace period: the longest time between the starts of two calls.
  static constexpr double kGapShareOfDrainGrace = 0.6;
  static constexpr double kLeastMaxGapMs = 150, kLargestMaxGapMs = 1'800;
  /// Of the longest time between two calls: the shortest one, while a call waits.
  static constexpr double kMinGapShare = 2.0 / 3;

  static constexpr double kWorstSilentWatchMs = kWatchTimeoutMs + kLargestMaxGapMs;
  static constexpr double kWorstErrorMs = kMaxErrorMeanMs * (1 + kJitterShare) + kLargestMaxGapMs;
  static_assert(kWorstSilentWatchMs <= kDeliveryLimitMs - kMarginMs);
  static_assert(kWorstErrorMs <= kDeliveryLimitMs - kMarginMs);

  /// nodes: of the fleet; drainGraceMs: as the settings have it; seed: of the jitter.
  DiscoveryBackoff(int nodes, double drainGraceMs, std::uint64_t seed)
      : maxGapMs_(
            std::clamp(drainGraceMs * kGapShareOfDrainGrace, kLeastMaxGapMs, kLargestMaxGapMs)),
        maxRetryMeanMs_(maxGapMs_ / (1 + kJitterShare)),
        initialMs_(std::clamp(nodes * kInitialPerNodeMs,
                              std::min(kInitialMs, maxRetryMeanMs_),
                              maxRetryMeanMs_)),
        maxErrorMeanMs_(std::clamp(nodes * kPerNodeMs, maxRetryMeanMs_, kMaxErrorMeanMs)),
        maxWaitingGapMs_(std::clamp(nodes * kPerNodeMs, maxGapMs_, kLargestMaxGapMs)),
        random_(seed) {
    reset();
  }

  /// The longest time between the starts of two calls, unless one is answered with an error.
  double maxGapMs() const { return maxGapMs_; }

  /// From the start of a call to that of the next, which runs beside it.
  double nextGapMs() { return drawn(maxGapMs_ * kMinGapShare, maxGapMs_); }
  /// The same once the call has been sent and waits for its response.
  double nextGapBesideWaitingMs() {
    return drawn(maxWaitingGapMs_ * kMinGapShare, maxWaitingGapMs_);
  }
  /// The delay after a call that has failed without a response; doubles its mean.
  double nextRetryDelayMs() {
    ++retries_;
    return nextDelayMs(retryMeanMs_, maxRetryMeanMs_);
  }
  /// The delay after an error response; doubles its mean.
  double nextErrorDelayMs() {
    ++errors_;
    const bool isDense = errors_ <= kDenseErrors && retries_ <= kRetriesOfALostWatch;
    return nextDelayMs(errorMeanMs_, isDense ? maxErrorMeanMs_ : kMaxErrorMeanMs);
  }
  /// Returns to the initial delays; called after a success.
  void reset() {
    retryMeanMs_ = errorMeanMs_ = initialMs_;
    errors_ = retries_ = 0;
  }

 private:
  static constexpr int kRetriesOfALostWatch = 1;
  // The initial mean delay: kInitialPerNodeMs for each node, at least kInitialMs.
  static constexpr double kInitialMs = 100, kInitialPerNodeMs = 5;
  // Between two calls of the whole fleet after errors, or beside calls that wait.
  static constexpr double kPerNodeMs = 18;

  double drawn(double minMs, double maxMs) {
    return std::uniform_real_distribution<>(minMs, maxMs)(random_);
  }
  double nextDelayMs(double& meanMs, double maxMeanMs) {
    const double delayMs = drawn(meanMs * (1 - kJitterShare), meanMs * (1 + kJitterShare));
    meanMs = std::min(maxMeanMs, meanMs * 2);
    return delayMs;
  }

  double maxGapMs_, maxRetryMeanMs_, initialMs_, maxErrorMeanMs_, maxWaitingGapMs_;
  double retryMeanMs_ = 0, errorMeanMs_ = 0;
  int errors_ = 0, retries_ = 0;
  std::mt19937_64 random_;
};

}  // namespace inference_router::fleet
