// The task that takes instances out in turn. It decides one step at a time from the plan, from what
// routers say of themselves, and from the fleet as this router sees it: at most one instance of a
// role and cell at a time, and never the last of a role. No I/O.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "coordination/plan.h"
#include "coordination/presence.h"
#include "coordination/seen.h"
#include "coordination/task.h"
#include "fleet/drains.h"

namespace inference_router::coordination {

struct FleetInstance {
  std::string role;
  std::uint32_t cell = 0;
  bool serves = true;  // listed as active, and not excluded by an operator
};
using FleetInstances = std::map<std::string, FleetInstance>;

struct MaintenanceConfig {
  TaskConfig task{"maintenance", 500, 1'000};
  double coldMs = 13'000;        // that an instance takes to be warm
  double silentNodeMs = 30'000;  // a router that has not spoken for so long is not waited for
};

class Maintenance final : public FleetTask {
 public:
  // instances: as this router sees the fleet, without the plan's own drains.
  Maintenance(MaintenanceConfig config, std::function<FleetInstances()> instances)
      : config_(std::move(config)), instances_(std::move(instances)) {}

  const TaskConfig& config() const override { return config_.task; }
  std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) override;

 private:
  std::string advance(Plan& plan, const View& view, double nowMs);
  std::string advanceItem(Plan& plan, PlanItem& item, const View& view, double nowMs);
  std::string beginNext(Plan& plan, const FleetInstances& instances, double nowMs);
  bool letGo(const Plan& plan, const PlanItem& item, const View& view, double nowMs);

  MaintenanceConfig config_;
  std::function<FleetInstances()> instances_;
  // A new holder counts from when it first looked, so an instance is out or warming longer after a
  // change of holders, and never shorter.
  Seen seen_;
};

// Operators' words on the plan, as they change what is stored.
struct PlanCommand {
  enum class Kind { kStart, kPause, kResume, kCancel, kBack };
  Kind kind = Kind::kStart;
  std::string by;
  std::string id;                      // start: of the plan
  std::vector<std::string> instances;  // start, back
  double holdMs = 0;
  bool confirm = false;
  std::optional<std::uint64_t>
      seen;  // the plan's revision that the operator saw; none: whichever there is
};

struct PlanAnswer {
  std::string problem;         // empty: it can be written
  std::optional<Write> write;  // none: it is so already
  std::string said;            // for the operator, once it is written
};

PlanAnswer decide(const PlanCommand& command,
                  const View& view,
                  const FleetInstances& instances,
                  double unixMs);

}  // namespace inference_router::coordination
