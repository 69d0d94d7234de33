// Limits the requests that this node sends to instances in slow start.
#pragma once

#include <array>

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/decaying_sum.h"
#include "routing/event_context.h"
#include "routing/instance_registry.h"
#include "routing/key_popularity.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Maximum number of instances in slow start that one request is offered to with a draw each.
constexpr int kMaxSlowStartOffers = 3;

/// Total weights of the instances that do one step, prefill or decode; mixed instances do both.
struct RoleWeights {
  double fullFleet = 0;    ///< estimate for the whole fleet, all listed and warm
  double listed = 0;       ///< currently listed
  double inSlowStart = 0;  ///< listed and in slow start
};

/// The instances in slow start to which one request is offered.
struct SlowStartCandidates {
  double offeredWeight;  ///< total weight of the instances that the request is offered to
  double instanceShare;  ///< share of one of them: 1 if it is the only one, 0 for no draw
};

/// Computes, from this node's traffic and the weights of the fleet, the offers on which an
/// instance's SlowStartBudget decides: all nodes together must not overload an instance that is not
/// warm.
class SlowStart {
 public:
  /// All must outlive the object.
  SlowStart(const Settings& settings,
            InstanceRegistry& registry,
            const CellPlan& cells,
            const KeyPopularity& popularity)
      : settings_(settings), registry_(registry), cells_(cells), popularity_(popularity) {}

  /// Records the start of this node: for one warm-up duration it does not know the size of the
  /// fleet.
  void start(Time now) { startedAt_ = now; }

  /// The weights of the instances that do the step of `role`, which must not be kMixed.
  RoleWeights weights(Role role, Time now) const;

  /// Whether the request may be sent to the instance now. Always true for a warm instance;
  /// otherwise records in the request when it was first offered.
  bool admits(RequestRecord& request,
              Instance& instance,
              const RoleWeights& weights,
              const SlowStartCandidates& candidates,
              Time now);

  /// Counts a request, or a reservation for one, sent to the instance.
  void countDispatch(Instance& instance, Time now);

  /// Logs the slow starts that began or ended. Looks for them at intervals, and at once after
  /// endpointsChanged().
  void report(EventContext& context);

  /// The endpoint list has changed.
  void endpointsChanged() { reportAt_ = Time{}; }

  const SlowStartTotals& totals() const { return totals_; }

 private:
  bool recentlyStarted(Time now) const {
    return now - startedAt_ < settings_.contract.warmupDuration;
  }
  double ownDemand(Role role, Time now) const;
  void logBegin(Instance& instance, EventContext& context) const;
  static void logEnd(Instance& instance, EventContext& context);

  const Settings& settings_;
  InstanceRegistry& registry_;
  const CellPlan& cells_;
  const KeyPopularity& popularity_;
  std::array<DecayingSum, kRoleCount> dispatches_;
  Time startedAt_{};
  Time reportAt_{};
  SlowStartTotals totals_;
};

}  // namespace inference_router::routing
