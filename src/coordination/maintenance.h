/// The task that takes a plan's instances out of service in turn: at most one of a role and cell at
/// a time, and never the last of a role. It decides one step at a time from the plan, the routers'
/// presences and the fleet as this router sees it. No I/O.
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
  /// That an instance takes to warm up.
  double warmupMs = 13'000;
  /// A router whose presence has not changed for so long is not waited for.
  double silentNodeMs = 30'000;
};

class Maintenance final : public FleetTask {
 public:
  /// instances: the fleet as this router sees it, without the drains of the plan itself.
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
  // A new holder measures from when it first looked: after a change of holders an instance is out
  // or warming for longer, never for shorter.
  UnchangedTracker ages_;
};

}  // namespace inference_router::coordination
