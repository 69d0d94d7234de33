// Arithmetic on durations.
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

/// The duration in seconds.
inline double inSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Upper bound of estimated durations, in microseconds: about 30 years, so that sums of a few of
/// them do not overflow.
constexpr double kLongestMicroseconds = 1e15;

/// Returns `count` microseconds, rounded to the nearest integer and clamped to
/// +-kLongestMicroseconds.
inline Duration microseconds(double count) {
  return Duration(std::llround(std::clamp(count, -kLongestMicroseconds, kLongestMicroseconds)));
}

/// Returns span * factor, rounded and clamped like microseconds().
inline Duration scaled(Duration span, double factor) {
  return microseconds(static_cast<double>(span.count()) * factor);
}

/// Returns the exponential decay factor for the time from `last` to `now`: 1 for no time, 0.5 for
/// one `halfLife`.
inline double decay(Time now, Time last, Duration halfLife) {
  return std::exp2(-ratio(now - last, halfLife));
}

}  // namespace inference_router::routing
