/// A maintenance plan as stored: the instances to take out of service in turn, and the progress of
/// each. It contains all state that a new holder of the maintenance lease needs to continue.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"

namespace inference_router::coordination {

inline constexpr const char* kPlanKey = "plan";

enum class PlanState { kRunning, kPaused, kCancelled, kDone };

/// The state of one instance in a plan. The states follow each other in this order; kSkipped
/// follows kWaiting.
enum class ItemState {
  kWaiting,
  kDraining,  ///< Receives no new requests.
  kOut,       ///< No router has open requests there: maintenance may proceed.
  kWarming,   ///< In service again, treated as an instance that has just started.
  kDone,
  kSkipped,
};
/// Return the states' names in stored plans and in reports.
const char* nameOf(PlanState state);
const char* nameOf(ItemState state);

struct PlanItem {
  std::string instance;
  ItemState state = ItemState::kWaiting;
  /// The number of the plan's step that set the state.
  std::uint64_t changedAtStep = 0;
  /// Whether an operator has confirmed that maintenance of the instance is complete.
  bool returnConfirmed = false;
  /// Why it is in this state; empty in the normal course of a plan.
  std::string reason;
  bool operator==(const PlanItem&) const = default;
};

struct Plan {
  static constexpr std::size_t kMaxInstances = kMaxFleetInstances;
  /// Limit for the plan's id and for the operator's name.
  static constexpr std::size_t kMaxNameBytes = 128;

  std::string id;
  std::string startedBy;  ///< Name of the operator.
  PlanState state = PlanState::kRunning;
  double holdMs = 0;        ///< Minimum time for which each instance stays out.
  bool confirm = false;     ///< Whether an operator must confirm each instance's return.
  std::uint64_t steps = 0;  ///< Number of completed steps.
  std::uint64_t fence = 0;  ///< Fence of the last step.
  double startedMs = 0;     ///< Unix time; informational only.
  std::vector<PlanItem> items;
  bool operator==(const Plan&) const = default;

  /// Done, or cancelled with all instances in service again.
  bool finished() const;
  /// Returns the instances that receive no new requests because of this plan.
  std::set<std::string> drained() const;
  /// Returns the instance's item; nullptr if the plan has none.
  PlanItem* item(const std::string& instance);

  std::string serialize() const;
  /// Returns nothing if the text is not a complete plan in the supported format.
  static std::optional<Plan> parse(std::string_view text);
};

struct StoredPlan {
  Plan plan;
  std::uint64_t revision = 0;
};
/// Returns the plan among the documents; nothing if there is none or it cannot be parsed.
std::optional<StoredPlan> findPlan(const std::map<std::string, Document>& documents);

}  // namespace inference_router::coordination
