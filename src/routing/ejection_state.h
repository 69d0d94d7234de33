// Failure rate and ejection state of one instance, for outlier detection.
#pragma once

#include <algorithm>
#include <chrono>

#include "inference_router/types.h"
#include "routing/fading_average.h"

namespace inference_router::routing {

/// Whether an instance is ejected and when the next trial request may be sent. Modified only by
/// OutlierDetector, except when an instance is added or has restarted.
struct EjectionState {
  /// Backoff before the first trial; it doubles with each further ejection.
  static constexpr Duration kInitialBackoff = std::chrono::seconds{1};
  /// Upper bound of the backoff.
  static constexpr Duration kMaxBackoff = std::chrono::seconds{8};
  /// Number of successes that a newly listed instance is credited with.
  static constexpr int kAssumedSuccesses = 3;

  FadingAverage failureRate;  ///< mean of 1 for each failure and 0 for each success
  bool ejected = false;       ///< only trial requests are sent
  Time ejectedAt{};           ///< time of the last ejection
  int trialsLeft = 0;         ///< number of successful trials still needed to end the ejection
  Duration backoff = kInitialBackoff;  ///< time from the next ejection to its first trial
  Time nextTrialAt{};                  ///< no trial is sent before this time

  /// Credits a newly listed instance with kAssumedSuccesses successes.
  void assumeHealthy() {
    for (int i = 0; i < kAssumedSuccesses; ++i)
      failureRate.add(0);
  }

  /// Ejects the instance at `now` until `trials` trials have succeeded. Each further ejection
  /// doubles the backoff.
  void eject(Time now, int trials) {
    ejected = true;
    ejectedAt = now;
    trialsLeft = trials;
    nextTrialAt = now + backoff;
    backoff = std::min<Duration>(backoff * 2, kMaxBackoff);
  }

  /// Ends the ejection and resets the failure rate.
  void reinstate() {
    ejected = false;
    backoff = kInitialBackoff;
    failureRate = FadingAverage();
  }
};

}  // namespace inference_router::routing
