// A sum over recent events in which each amount decays exponentially with its age.
#pragma once

#include <cmath>

#include "routing/duration_math.h"

namespace inference_router::routing {

/// Exponentially decaying sum. Does not store the time constant: each call passes it.
class DecayingSum {
 public:
  /// The sum at `now`. In the steady state it is the amount added per unit of time, multiplied by
  /// `timeConstant`.
  double at(Time now, Duration timeConstant) const {
    return sum_ * std::exp(-ratio(now - lastChange_, timeConstant));
  }

  /// Adds `amount` at `now`. All calls on one object must pass the same time constant.
  void add(double amount, Time now, Duration timeConstant) {
    sum_ = at(now, timeConstant) + amount;
    lastChange_ = now;
  }

 private:
  double sum_ = 0;
  Time lastChange_{};
};

}  // namespace inference_router::routing
