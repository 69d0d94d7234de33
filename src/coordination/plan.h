// A maintenance as it lies in the store: which instances are to be taken out in turn, and how far
// each is. It is all that the next holder needs to go on at the right box.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"

namespace inference_router::coordination {

inline constexpr const char* kPlanKey = "plan";

enum class PlanState { kRunning, kPaused, kCancelled, kDone };
// An instance goes this way and no other: waiting, draining (nothing new goes there), out (nobody
// has anything open there: it may be worked on), warming (in use again, as an instance that has
// just started), done.
enum class ItemState { kWaiting, kDraining, kOut, kWarming, kDone, kSkipped };
const char* nameOf(PlanState state);
const char* nameOf(ItemState state);

struct PlanItem {
  std::string instance;
  ItemState state = ItemState::kWaiting;
  std::uint64_t changed = 0;  // how many steps the plan had taken when this was reached
  bool back = false;          // an operator said that its work is done
  std::string why;            // skipped: for what reason
  bool operator==(const PlanItem&) const = default;
};

struct Plan {
  static constexpr std::size_t kMaxInstances = kMostInstances;
  static constexpr std::size_t kLongestWord = 128;

  std::string id, by;
  PlanState state = PlanState::kRunning;
  double holdMs = 0;        // that each instance is out at least
  bool confirm = false;     // each stays out until an operator says that it is back
  std::uint64_t steps = 0;  // taken so far
  std::uint64_t fence = 0;  // of the last one that took a step
  double startedMs = 0;     // Unix time, for people
  std::vector<PlanItem> items;
  bool operator==(const Plan&) const = default;

  bool over() const {
    return state == PlanState::kDone || (state == PlanState::kCancelled && drained().empty());
  }
  // The instances that get nothing new, by this plan.
  std::set<std::string> drained() const;
  PlanItem* item(const std::string& instance);

  std::string text() const;
  // Nothing if the text is no whole plan of a form that is known.
  static std::optional<Plan> parse(std::string_view text);
};

}  // namespace inference_router::coordination
