// The one clock of the program: milliseconds since the Unix epoch as a floating-point number.
#pragma once

#include <chrono>
#include <cmath>

#include "leverrelay/router.h"

namespace dahliastall::core {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual double nowMs() const = 0;
};

// Anchored once to the system clock and advanced by the steady one: comparable with start times that the
// fleet list gives, yet it never goes back when the system's time is set.
class SystemClock final : public Clock {
 public:
  double nowMs() const override {
    const std::chrono::duration<double, std::milli> gone = std::chrono::steady_clock::now() - steady_;
    return startMs_ + gone.count();
  }

 private:
  std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  double startMs_ =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
};

class ManualClock final : public Clock {
 public:
  double nowMs() const override { return now_; }
  void set(double ms) { now_ = ms; }
  void advance(double ms) { now_ += ms; }

 private:
  double now_ = 1'000'000;
};

// The only place where the program's milliseconds meet the module's microseconds.
inline leverrelay::Duration toModule(double ms) { return leverrelay::Duration(std::llround(ms * 1000)); }
inline leverrelay::Time toModuleTime(double ms) { return leverrelay::Time(toModule(ms)); }
inline double toMs(leverrelay::Duration span) { return static_cast<double>(span.count()) / 1000; }
inline double toMs(leverrelay::Time time) { return toMs(time.time_since_epoch()); }

}  // namespace dahliastall::core
