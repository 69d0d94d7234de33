// The record of failures of one instance and its ejection by outlier detection.
#pragma once

#include <algorithm>
#include <chrono>

#include "inference_router/types.h"
#include "routing/fading_average.h"

namespace inference_router::routing {

/// Whether an instance is ejected and when it may be tried again. Changed by OutlierDetector alone,
/// but for the reset of an instance that has restarted.
struct EjectionState {
  /// First backoff before a trial, in seconds; it doubles with each further ejection.
  static constexpr Duration kInitialBackoff = std::chrono::seconds{1};
  /// Upper bound of the backoff, in seconds.
  static constexpr Duration kMaxBackoff = std::chrono::seconds{8};
  /// Number of successes that an instance new to this node is assumed to have had.
  static constexpr int kAssumedSuccesses = 3;

  FadingAverage failureRate;           ///< 1 for each failure, 0 for each success
  bool ejected = false;                ///< no requests but trials are sent
  Time ejectedAt{};                    ///< last ejection
  int trialsLeft = 0;                  ///< successful trials that end the ejection
  Duration backoff = kInitialBackoff;  ///< from the next ejection to its first trial
  Time nextTrialAt{};                  ///< no trial is sent before

  /// Records the successes that a new instance is assumed to have had.
  void assumeHealthy() {
    for (int i = 0; i < kAssumedSuccesses; ++i)
      failureRate.add(0);
  }

  /// Ejects at `now`, until `trials` trials have succeeded. An instance that is ejected already
  /// gets the longer backoff.
  void eject(Time now, int trials) {
    ejected = true;
    ejectedAt = now;
    trialsLeft = trials;
    nextTrialAt = now + backoff;
    backoff = std::min<Duration>(backoff * 2, kMaxBackoff);
  }

  /// Ends an ejection and forgets the failures.
  void reinstate() {
    ejected = false;
    backoff = kInitialBackoff;
    failureRate = FadingAverage();
  }
};

}  // namespace inference_router::routing
