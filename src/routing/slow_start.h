// Limits the requests that this node sends to instances in slow start.
#pragma once

#include <array>
#include <optional>

#include "inference_router/settings.h"
#include "inference_router/slow_start_totals.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/decaying_sum.h"
#include "routing/event_context.h"
#include "routing/instance_registry.h"
#include "routing/key_popularity.h"
#include "routing/request_record.h"
#include "routing/served_rate.h"

namespace inference_router::routing {

/// Decides on, counts and logs all that this node sends to instances in slow start. A limit holds
/// from the start of an instance until no window can be left that began before it was warm, and is
/// lifted gradually then. The node's part of the budget follows from what the instances can do: the
/// quotas of the tenants or, at a site without tenants, what warm instances have served.
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

  /// The endpoint list has changed.
  void endpointsChanged(Time now);

  /// Whether what is sent to the instance is limited.
  bool isLimited(const Instance& instance, Time now) const;

  /// Whether a request may be sent to the instance now, or a reservation for it. Always true for an
  /// instance that is not limited; otherwise a denial is counted.
  bool admits(Instance& instance, Time now);

  /// Whether the attempt at the instance where the request has its reservation may be sent now. An
  /// attempt that comes too long after its reservation needs a part of the budget of its own.
  bool admitsReserved(const RequestRecord& request, Time now);

  /// Counts a reservation at the instance.
  void countReservation(Instance& instance, Time now) { count(instance, now); }

  /// Counts an attempt at the instance, unless it was counted with its reservation.
  void countAttempt(const RequestRecord& request, Instance& instance, Time now);

  /// Counts a request that has arrived at this node.
  void recordArrival(Time now);

  /// The instance has completed its prefill of the request, or its answer. (First tokens would not
  /// do: an idle instance can begin more answers than it can go on with.)
  void recordServed(const RequestRecord& request, const Instance& instance, Time now);

  /// An attempt could not connect to the instance. Once it can again, it may have restarted without
  /// news of it, and in a large fleet it is limited until the news must have come.
  static void recordConnectFailure(Instance& instance, Time now);

  /// Logs the slow starts that began or ended. Looks for them at intervals, and at once after
  /// endpointsChanged().
  void report(EventContext& context);

  const SlowStartTotals& totals() const { return totals_; }

 private:
  using ByRole = std::array<double, kRoleCount>;

  bool recentlyStarted(Time now) const {
    return now - startedAt_ < settings_.contract.warmupDuration;
  }
  std::optional<Time> startOf(const Instance& instance, Time now) const;
  bool isCounted(const RequestRecord& request, Time now) const;
  double fullWeight(Role role) const;
  double stepCount(Role role) const;
  double ownCapacity(const Instance& instance, Time now) const;
  double ownDemand(Time now) const;
  double requestsPerSecond(Time now) const;
  SlowStartPart partOf(const Instance& instance, Time now) const;
  void observeWeights(Time now);
  void count(Instance& instance, Time now);
  bool deny(Instance& instance, SlowStartDenial reason);
  void logBegin(const Instance& instance, EventContext& context) const;
  static void logEnd(const Instance& instance, EventContext& context);

  const Settings& settings_;
  InstanceRegistry& registry_;
  const CellPlan& cells_;
  const KeyPopularity& popularity_;
  ServedRate served_;
  DecayingSum recentArrivals_;  ///< over about one overload window
  ByRole fullWeight_{};         ///< by step, prefill or decode; mixed instances do both
  Time startedAt_{};
  Time reportAt_{};
  SlowStartTotals totals_;
};

}  // namespace inference_router::routing
