// The task that takes boxes out in turn. It decides one step at a time from the plan, from what
// conductors say of themselves, and from the fleet as this conductor sees it: at most one box of a
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

struct FleetBox {
  std::string role;
  std::uint32_t cell = 0;
  bool serves = true;  // listed as active, and not excluded by an operator
};
using FleetBoxes = std::map<std::string, FleetBox>;

struct MaintenanceConfig {
  TaskConfig task{"maintenance", 500, 1'000};
  double coldMs = 13'000;        // that a box takes to be warm
  double silentNodeMs = 30'000;  // a conductor that has not spoken for so long is not waited for
};

class Maintenance final : public FleetTask {
 public:
  // boxes: as this conductor sees the fleet, without the plan's own drains.
  Maintenance(MaintenanceConfig config, std::function<FleetBoxes()> boxes)
      : config_(std::move(config)), boxes_(std::move(boxes)) {}

  const TaskConfig& config() const override { return config_.task; }
  std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) override;

 private:
  std::string advance(Plan& plan, const View& view, double nowMs);
  std::string advanceItem(Plan& plan, PlanItem& item, const View& view, double nowMs);
  std::string beginNext(Plan& plan, const FleetBoxes& boxes, double nowMs);
  bool letGo(const Plan& plan, const PlanItem& item, const View& view, double nowMs);

  MaintenanceConfig config_;
  std::function<FleetBoxes()> boxes_;
  // A new holder counts from when it first looked, so a box is out or warming longer after a change
  // of holders, and never shorter.
  Seen seen_;
};

// Operators' words on the plan, as they change what is stored.
struct PlanCommand {
  enum class Kind { kStart, kPause, kResume, kCancel, kBack };
  Kind kind = Kind::kStart;
  std::string by;
  std::string id;                  // start: of the plan
  std::vector<std::string> boxes;  // start, back
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
                  const FleetBoxes& boxes,
                  double unixMs);

}  // namespace inference_router::coordination
