// Limits what this node sends to instances in slow start, over all of them.
#pragma once

#include <array>

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/decaying_sum.h"
#include "routing/instance_registry.h"
#include "routing/key_popularity.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Number of instances in slow start that one request is offered to at most, where this node draws.
constexpr int kMaxSlowStartOffers = 3;

/// Weights of the instances that do one step, prefill or decode; mixed instances do both.
struct RoleWeights {
  double fullFleet = 0;    ///< when the whole fleet is listed
  double listed = 0;       ///< listed now
  double inSlowStart = 0;  ///< of these, in slow start
};

/// To which instances one request is offered.
struct SlowStartCandidates {
  double offeredWeight;  ///< weight of the instances that the request is offered to
  double instanceShare;  ///< of one instance in it: 1 if offered the request alone, 0 for no draw
};

/// Turns the traffic of this node and the weights of the fleet into the offers that the budget of
/// an instance (SlowStartBudget) decides on: the nodes together must not overload an instance that
/// is not warm.
class SlowStart {
 public:
  /// All must outlive the object.
  SlowStart(const Settings& settings,
            const InstanceRegistry& registry,
            const CellPlan& cells,
            const KeyPopularity& popularity)
      : settings_(settings), registry_(registry), cells_(cells), popularity_(popularity) {}

  /// Notes that this node starts: for a warm-up time it does not know how large the fleet is.
  void start(Time now) { startedAt_ = now; }

  /// The weights of the instances that do the step of `role`, which is not kMixed.
  RoleWeights weights(Role role, Time now) const;

  /// Whether the request may be sent to the instance now. Always if it is warm; notes in the record
  /// since when the request is offered otherwise.
  bool admits(RequestRecord& request,
              Instance& instance,
              const RoleWeights& weights,
              const SlowStartCandidates& candidates,
              Time now);

  /// Counts a request, or a reservation for one, that was sent to the instance.
  void countDispatch(Instance& instance, Time now);

 private:
  bool recentlyStarted(Time now) const {
    return now - startedAt_ < settings_.contract.warmupDuration;
  }
  double ownDemand(Role role, Time now) const;

  const Settings& settings_;
  const InstanceRegistry& registry_;
  const CellPlan& cells_;
  const KeyPopularity& popularity_;
  std::array<DecayingSum, kRoleCount> dispatches_;
  Time startedAt_{};
};

}  // namespace inference_router::routing
