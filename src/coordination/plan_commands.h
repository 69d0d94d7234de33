/// Operators' commands on the maintenance plan: whether each is allowed, and what it writes.
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
  std::string id;                      ///< Start: the plan's id.
  std::vector<std::string> instances;  ///< Start, and back with one instance.
  double holdMs = 0;
  bool confirm = false;
  /// The plan's revision that the operator saw; none: the command applies to any.
  std::optional<std::uint64_t> expectedRevision;
};

struct PlanDecision {
  std::string error;           ///< For the operator; empty if the command is allowed.
  std::optional<Write> write;  ///< None: the plan is as commanded already.
  std::string confirmation;    ///< For the operator, once it is written.
};

/// view: what is stored now. unixMs: the time that a new plan records as its start.
PlanDecision decide(const PlanCommand& command,
                    const View& view,
                    const FleetInstances& instances,
                    double unixMs);

}  // namespace inference_router::coordination
