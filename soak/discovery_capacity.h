/// How many calls the discovery behind all agents can serve, where that is limited.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>

#include "plan.h"

namespace inference_router::soak {

/// Shared by all agents. Times are in milliseconds.
class DiscoveryCapacity {
 public:
  explicit DiscoveryCapacity(const DiscoveryLoad& load) : load_(load) {}

  /// A call has come. Returns when it is answered, or nothing if it is answered with an error. A
  /// call counts whether its caller waits for the answer or not.
  std::optional<double> admit(double nowMs) {
    if (load_.callsPerS <= 0)
      return nowMs;
    return load_.refuses ? admitOrRefuse(nowMs) : enqueue(nowMs);
  }

 private:
  static constexpr double kSecondMs = 1'000;

  double enqueue(double nowMs) {
    freeFromMs_ = std::max(freeFromMs_, nowMs) + kSecondMs / load_.callsPerS;
    return freeFromMs_;
  }

  std::optional<double> admitOrRefuse(double nowMs) {
    while (!latestMs_.empty() && latestMs_.front() <= nowMs - kSecondMs)
      latestMs_.pop_front();
    latestMs_.push_back(nowMs);
    if (static_cast<double>(latestMs_.size()) > load_.callsPerS)
      return std::nullopt;
    return nowMs;
  }

  DiscoveryLoad load_;
  double freeFromMs_ = 0;        // of a queue
  std::deque<double> latestMs_;  // calls of the last second, refused ones among them
};

}  // namespace inference_router::soak
