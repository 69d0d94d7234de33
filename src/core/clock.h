/// The program's two clocks. All spans (deadlines, windows, waits) are measured on the monotonic
/// one. The wall clock may be wrong and may be stepped; it is read only to tell times to others.
#pragma once

#include <chrono>
#include <cmath>

#include "inference_router/router.h"

namespace inference_router::core {

/// Milliseconds that only grow. What they count from means nothing, except that all processes of a
/// machine count from the same moment.
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
    const std::chrono::duration<double, std::milli> running =
        std::chrono::steady_clock::now().time_since_epoch();
    return kOriginMs + running.count();
  }

 private:
  // Zero stands for a time long past in many places, so that a machine that has just started must
  // not begin there.
  static constexpr double kOriginMs = 1e9;
};

/// A clock for tests, which stands still until it is set.
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

// Conversions between the program's milliseconds and the decision module's microseconds. No other
// place converts.
/// A span for the decision module, rounded to whole microseconds.
inline routing::Duration toModule(double ms) {
  return routing::Duration(std::llround(ms * 1000));
}
/// A time of this process's Clock for the decision module.
inline routing::Time toModuleTime(double ms) {
  return routing::Time(toModule(ms));
}
/// A span of the decision module in milliseconds.
inline double toMs(routing::Duration span) {
  return static_cast<double>(span.count()) / 1000;
}
/// A time of the decision module as one of this process's Clock.
inline double toMs(routing::Time time) {
  return toMs(time.time_since_epoch());
}

}  // namespace inference_router::core
