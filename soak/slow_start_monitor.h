/// The rule on instances in slow start, judged by what reaches them from all routers together.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "request_log.h"

namespace inference_router::soak {

/// What the settings tell of instances in slow start, and what the emulated instances can do.
struct SlowStartRule {
  double initialShare = 0;    ///< of its capacity that an instance has until it is warm
  double warmupMs = 0;        ///< then it is warm
  double overloadFactor = 0;  ///< load, as a multiple of its present capacity, that makes it fall
  double windowMs = 0;        ///< when it lasts for so long
  double capacityPerS = 0;    ///< attempts that a warm instance can do
};

/// Attempts that make an instance fall when more of them arrive in one window, of which the
/// settings allow `allowed`; as the page of the standing test has it.
double fallBound(double allowed);

class SlowStartMonitor {
 public:
  explicit SlowStartMonitor(const SlowStartRule& rule) : rule_(rule) {}

  /// The instance has started.
  void started(int instance, double atMs);
  /// An attempt has reached the instance, from a router that counts as told of the start or not.
  /// Returns whether the instance falls by it.
  bool arrived(int instance, bool told, double atMs);

  /// Attempts that reached instances in slow start.
  std::size_t arrivals() const { return arrivals_; }
  /// Instances that fell.
  std::size_t falls() const { return falls_; }
  /// The most attempts in one window, as a share of the bound.
  double maxShareOfBound() const { return maxShareOfBound_; }
  /// Falls of which over two thirds of the attempts came from routers that count as told.
  std::vector<Violation> violations() const { return violations_; }

 private:
  struct Attempt {
    double atMs;
    bool told;
  };
  struct Start {
    double atMs = 0;
    std::deque<Attempt> window;
    bool fell = false;
  };

  void fall(int instance, Start& start, double atMs);

  SlowStartRule rule_;
  std::map<int, Start> starts_;
  std::size_t arrivals_ = 0, falls_ = 0;
  double maxShareOfBound_ = 0;
  std::vector<Violation> violations_;
};

}  // namespace inference_router::soak
