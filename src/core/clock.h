/// The monotonic clock and the wall clock. All durations (deadlines, windows, delays) are measured
/// on the monotonic clock. The wall clock may be wrong and may be stepped, so it is read only for
/// times that are reported to other systems.
#pragma once

#include <chrono>
#include <cmath>

#include "inference_router/router.h"

namespace inference_router::core {

/// A monotonic clock in milliseconds. Its origin is arbitrary, but the same for all processes of a
/// machine.
class Clock {
 public:
  virtual ~Clock() = default;
  /// The present time in milliseconds.
  virtual double nowMs() const = 0;
};

/// The machine's steady clock.
class SystemClock final : public Clock {
 public:
  double nowMs() const override {
    const std::chrono::duration<double, std::milli> sinceEpoch =
        std::chrono::steady_clock::now().time_since_epoch();
    return kOriginMs + sinceEpoch.count();
  }

 private:
  // Many places use 0 for a time in the distant past, so the clock of a machine that has just
  // booted must not start near 0.
  static constexpr double kOriginMs = 1e9;
};

/// A clock for tests, which changes only when it is set.
class ManualClock final : public Clock {
 public:
  double nowMs() const override { return nowMs_; }
  void set(double ms) { nowMs_ = ms; }
  void advance(double ms) { nowMs_ += ms; }

 private:
  double nowMs_ = 1'000'000;
};

/// The wall clock: milliseconds since the Unix epoch, as this machine sees it.
inline double unixNowMs() {
  const std::chrono::duration<double, std::milli> now =
      std::chrono::system_clock::now().time_since_epoch();
  return now.count();
}

// Conversions between milliseconds and the decision module's microseconds. All conversions are made
// here.

/// Converts a duration for the decision module, rounded to whole microseconds.
inline routing::Duration toModule(double ms) {
  return routing::Duration(std::llround(ms * 1000));
}
/// Converts a time of this process's Clock for the decision module.
inline routing::Time toModuleTime(double ms) {
  return routing::Time(toModule(ms));
}
/// Converts a duration of the decision module to milliseconds.
inline double toMs(routing::Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}
/// Converts a time of the decision module to one of this process's Clock.
inline double toMs(routing::Time time) {
  return toMs(time.time_since_epoch());
}

}  // namespace inference_router::core
