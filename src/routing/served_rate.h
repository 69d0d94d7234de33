// The requests that warm instances have served for this node, per unit of their weight.
#pragma once

#include <array>
#include <optional>

#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/decaying_sum.h"

namespace inference_router::routing {

/// Estimates this node's part of the capacity of instances of a role from what it was served, not
/// from what it has asked for: over all nodes, the sum is at most what the instances can do. While
/// no instance is warm, the last estimate stays.
class ServedRate {
 public:
  /// The total weight of the warm instances of the role, from now on.
  void setWarmWeight(Role role, double weight, Time now);

  /// A warm instance has completed a prefill or an answer. Less than `minObserved` of observation
  /// counts as that much.
  void recordServed(Role role, Duration minObserved, Time now);

  /// Requests per second that an instance of this weight would serve for this node, at most those
  /// of all warm instances. Nothing if no warm instance of the role has served a request yet.
  std::optional<double> ofWeight(Role role, double weight) const;

 private:
  struct Observation {
    DecayingSum served;
    double weight = 0;         // of the warm instances now
    double weightSeconds = 0;  // decayed like `served`, at `since`
    double seconds = 0;        // with a warm instance, decayed in the same way
    Time since{};
    double meanWeight = 0;  // of the warm instances, at the latest request that was served
    std::optional<double> perWeight;  // requests per second by then
  };

  static Observation observedAt(const Observation& observation, Time now);

  std::array<Observation, kRoleCount> observations_;
};

}  // namespace inference_router::routing
