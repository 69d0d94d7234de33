/// A maintenance plan as it is stored: which instances are taken out of service in turn, and how
/// far each one is. It holds all that a new holder of the maintenance lease needs to continue.
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

/// Of one instance. The states follow each other in this order; a skipped one was waiting.
enum class ItemState {
  kWaiting,
  kDraining,  ///< Gets no new requests.
  kOut,       ///< No router has requests open there: it may be worked on.
  kWarming,   ///< In use again, as an instance that has just started.
  kDone,
  kSkipped,
};
/// The states' names in the stored form and in reports.
const char* nameOf(PlanState state);
const char* nameOf(ItemState state);

struct PlanItem {
  std::string instance;
  ItemState state = ItemState::kWaiting;
  /// The number of the plan's step in which the state was reached.
  std::uint64_t changedAtStep = 0;
  /// An operator has confirmed that the work on it is done.
  bool returnConfirmed = false;
  /// Why it is in this state, where that needs saying.
  std::string reason;
  bool operator==(const PlanItem&) const = default;
};

struct Plan {
  static constexpr std::size_t kMaxInstances = kMaxFleetInstances;
  /// Of the plan's id and of the operator's name.
  static constexpr std::size_t kMaxNameBytes = 128;

  std::string id;
  std::string startedBy;  ///< The operator who started it.
  PlanState state = PlanState::kRunning;
  double holdMs = 0;        ///< For which each instance stays out at least.
  bool confirm = false;     ///< Each instance stays out until an operator confirms its return.
  std::uint64_t steps = 0;  ///< Taken so far.
  std::uint64_t fence = 0;  ///< Of the holder that took the last step.
  double startedMs = 0;     ///< Unix time; informational only.
  std::vector<PlanItem> items;
  bool operator==(const Plan&) const = default;

  /// Done, or cancelled with all instances back.
  bool finished() const;
  /// The instances that get no new requests by this plan.
  std::set<std::string> drained() const;
  /// The instance's item; nullptr if the plan has none.
  PlanItem* item(const std::string& instance);

  std::string serialize() const;
  /// Nothing if the text is not a complete plan of a known form.
  static std::optional<Plan> parse(std::string_view text);
};

struct StoredPlan {
  Plan plan;
  std::uint64_t revision = 0;
};
/// The plan among the documents; nothing if there is none or it cannot be parsed.
std::optional<StoredPlan> findPlan(const std::map<std::string, Document>& documents);

}  // namespace inference_router::coordination
