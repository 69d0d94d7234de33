/// The task that takes the instances of a maintenance plan out of service in turn: at most one for
/// each role and cell at a time, and never the last one of a role. Decides one step at a time,
/// based on the plan, the routers' presences and this router's list of instances. Performs no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "coordination/fleet_instance.h"
#include "coordination/plan.h"
#include "coordination/task.h"
#include "coordination/unchanged_tracker.h"

namespace inference_router::coordination {

struct MaintenanceConfig {
  TaskConfig task{"maintenance", 500, 1'000};
  /// Time that an instance takes to warm up.
  double warmupMs = 13'000;
  /// A router whose presence has not changed for this long no longer delays a drain.
  double silentNodeMs = 30'000;
};

class Maintenance final : public FleetTask {
 public:
  /// instances: this router's list of instances, not counting the plan's own drains.
  Maintenance(MaintenanceConfig config, std::function<FleetInstances()> instances)
      : config_(std::move(config)), instances_(std::move(instances)) {}

  const TaskConfig& config() const override { return config_.task; }
  std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) override;

 private:
  void trackPresencesOnly(const View& view, double nowMs);
  std::string advance(Plan& plan, const View& view, double nowMs);
  std::string advanceItem(Plan& plan, PlanItem& item, const View& view, double nowMs);
  bool drainedEverywhere(const Plan& plan, const PlanItem& item, const View& view, double nowMs);

  MaintenanceConfig config_;
  std::function<FleetInstances()> instances_;
  // A new lease holder measures from its own first observation: after a change of holders an
  // instance stays out or warming longer, never shorter.
  UnchangedTracker ages_;
};

}  // namespace inference_router::coordination
