/// Operators' commands on the maintenance plan: checks whether a command is allowed, and determines
/// the resulting write.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/fleet_instance.h"
#include "coordination/store.h"
#include "coordination/task.h"

namespace inference_router::coordination {

struct PlanCommand {
  enum class Kind { kStart, kPause, kResume, kCancel, kConfirmReturn };
  Kind kind = Kind::kStart;
  std::string operatorName;            ///< The operator's name.
  std::string id;                      ///< kStart: the plan's id.
  std::vector<std::string> instances;  ///< kStart; kConfirmReturn with one instance.
  double holdMs = 0;
  bool confirm = false;
  /// The plan's revision that the operator saw; absent: the command applies to any revision.
  std::optional<std::uint64_t> expectedRevision;
};

struct PlanDecision {
  std::string error;           ///< Message for the operator; empty if the command is allowed.
  std::optional<Write> write;  ///< Absent if the plan is in the requested state already.
  std::string confirmation;    ///< Message for the operator after the write.
};

/// view: the current content of the store. unixMs: recorded as the start of a new plan.
PlanDecision decide(const PlanCommand& command,
                    const View& view,
                    const FleetInstances& instances,
                    double unixMs);

}  // namespace inference_router::coordination
