// A weighted mean in which each new sample takes weight from the older ones.
#pragma once

#include "routing/duration_math.h"

namespace inference_router::routing {

class FadingAverage {
 public:
  /// Adds one sample, which was taken at `now`.
  void add(double sample, Time now = {}) {
    sum_ = sum_ * kRetainedWeight + sample;
    weight_ = weight_ * kRetainedWeight + 1;
    lastSample_ = now;
  }

  /// The weighted mean of all samples, or 0 if there were none.
  double mean() const { return weight_ > 0 ? sum_ / weight_ : 0; }

  /// The mean, decayed by the age of the last sample. A decision that keeps new samples from coming
  /// is thus taken back after some half-lives.
  double decayedMean(Time now, Duration halfLife) const {
    return mean() * decay(now, lastSample_, halfLife);
  }

 private:
  /// Weight that each older sample keeps when one is added: about the last seven determine the
  /// mean.
  static constexpr double kRetainedWeight = 0.85;

  double sum_ = 0;
  double weight_ = 0;
  Time lastSample_{};
};

}  // namespace inference_router::routing
