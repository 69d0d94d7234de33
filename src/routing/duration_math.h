// Arithmetic on the decision module's durations. No state, no decisions.
#pragma once

#include <algorithm>
#include <cmath>

#include "inference_router/types.h"

namespace inference_router::routing {

/// Returns numerator / denominator. A denominator below one microsecond counts as one microsecond,
/// so the result is always finite.
inline double ratio(Duration numerator, Duration denominator) {
  const Duration::rep divisor = std::max<Duration::rep>(1, denominator.count());
  return static_cast<double>(numerator.count()) / static_cast<double>(divisor);
}

/// The longest duration that estimates may reach, some 30 years: sums of a few of them do not
/// overflow.
constexpr double kLongestMicroseconds = 1e15;

/// Returns `count` microseconds, rounded to the nearest one and limited to kLongestMicroseconds
/// either way.
inline Duration microseconds(double count) {
  return Duration(std::llround(std::clamp(count, -kLongestMicroseconds, kLongestMicroseconds)));
}

/// Returns span * factor, rounded and limited like microseconds().
inline Duration scaled(Duration span, double factor) {
  return microseconds(static_cast<double>(span.count()) * factor);
}

/// Returns the exponential decay factor after the time from `last` to `now`: 1 at once, 0.5 after
/// `halfLife`.
inline double decay(Time now, Time last, Duration halfLife) {
  return std::exp2(-ratio(now - last, halfLife));
}

}  // namespace inference_router::routing
