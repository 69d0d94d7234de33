// An exponentially weighted moving average.
#pragma once

#include "routing/duration_math.h"

namespace inference_router::routing {

/// Weighted mean in which each new sample reduces the weight of all earlier ones.
class FadingAverage {
 public:
  /// Adds a sample taken at `now`.
  void add(double sample, Time now = {}) {
    sum_ = sum_ * kRetainedWeight + sample;
    weight_ = weight_ * kRetainedWeight + 1;
    lastSample_ = now;
  }

  /// The weighted mean of all samples, or 0 if there are none.
  double mean() const { return weight_ > 0 ? sum_ / weight_ : 0; }

  /// The mean, decayed by the age of the last sample. A decision that prevents new samples is thus
  /// reversed after a few half-lives.
  double decayedMean(Time now, Duration halfLife) const {
    return mean() * decay(now, lastSample_, halfLife);
  }

 private:
  /// Factor applied to the weight of earlier samples when one is added: the mean is dominated by
  /// about the last seven samples.
  static constexpr double kRetainedWeight = 0.85;

  double sum_ = 0;
  double weight_ = 0;
  Time lastSample_{};
};

}  // namespace inference_router::routing
