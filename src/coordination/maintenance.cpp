#include "coordination/maintenance.h"

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/presence.h"
#include "fleet/drains.h"

namespace inference_router::coordination {

namespace {

constexpr const char* kItemAgePrefix = "box ";

bool inProgress(ItemState state) {
  return state == ItemState::kDraining || state == ItemState::kOut || state == ItemState::kWarming;
}

/// Returns a description of the change.
std::string changeState(Plan& plan,
                        PlanItem& item,
                        ItemState state,
                        const std::string& reason = "") {
  item.state = state;
  item.reason = reason;
  item.changedAtStep = plan.steps + 1;
  return "box " + item.instance + " is " + nameOf(state) + (reason.empty() ? "" : ": " + reason);
}

struct RoleAndCell {
  std::string role;
  std::uint32_t cell = 0;
  auto operator<=>(const RoleAndCell&) const = default;
};

/// The roles and cells in which the plan has an instance out of service or warming up.
std::set<RoleAndCell> busyCells(const Plan& plan, const FleetInstances& instances) {
  std::set<RoleAndCell> busy;
  for (const PlanItem& item : plan.items) {
    const auto instance = instances.find(item.instance);
    if (instance != instances.end() && inProgress(item.state))
      busy.insert({instance->second.role, instance->second.cell});
  }
  return busy;
}

/// The number of instances that would still serve the role without this one. An instance that the
/// plan has returned to service is not counted while it warms up, as long as there are others.
std::size_t remainingOfRole(const Plan& plan,
                            const FleetInstances& instances,
                            const std::string& instanceId,
                            const std::string& role) {
  const std::set<std::string> drained = plan.drained();
  std::size_t remaining = 0;
  for (const auto& [id, instance] : instances) {
    if (id != instanceId && instance.role == role && instance.serves && drained.count(id) == 0)
      ++remaining;
  }
  for (const PlanItem& item : plan.items) {
    const auto instance = instances.find(item.instance);
    if (item.state == ItemState::kWarming && instance != instances.end() &&
        instance->second.role == role && remaining > 0)
      --remaining;
  }
  return remaining;
}

/// Whether the rules for drains allow draining this instance now.
bool mayDrain(const std::string& instance,
              std::size_t remaining,
              const std::string& role,
              double nowMs) {
  fleet::Drains drains;
  // The command has a fixed name, since the ids of the plan and the instance together may exceed
  // the longest permitted name.
  const auto result = drains.handle({"step", "plan", instance, true, 0, {}, false},
                                    {true, remaining, role, 0}, nowMs);
  return result.code == fleet::DrainCode::kDone;
}

/// Starts draining the first instance in the plan's order that may be drained, and returns a
/// description of the change; empty if there is none. An item waits while another one of its role
/// and cell is in progress, and delays only items of the same role and cell.
std::string drainNext(Plan& plan, const FleetInstances& instances, double nowMs) {
  std::set<RoleAndCell> busy = busyCells(plan, instances);
  for (PlanItem& item : plan.items) {
    if (item.state != ItemState::kWaiting)
      continue;
    const auto found = instances.find(item.instance);
    if (found == instances.end())
      return changeState(plan, item, ItemState::kSkipped, "it is in no list any more");
    const FleetInstance& instance = found->second;
    if (!busy.insert({instance.role, instance.cell}).second)
      continue;
    const std::size_t remaining = remainingOfRole(plan, instances, item.instance, instance.role);
    if (mayDrain(item.instance, remaining, instance.role, nowMs))
      return changeState(plan, item, ItemState::kDraining);
  }
  return "";
}

}  // namespace

std::optional<Step> Maintenance::next(const View& view, std::uint64_t fence, double nowMs) {
  const auto stored = findPlan(view.documents);
  if (!stored || stored->plan.finished()) {
    trackPresencesOnly(view, nowMs);
    return std::nullopt;
  }
  Plan plan = stored->plan;
  const std::string change = advance(plan, view, nowMs);
  if (change.empty())
    return std::nullopt;
  ++plan.steps;
  plan.fence = fence;
  return Step{"plan " + plan.id + ": " + change, {{kPlanKey, stored->revision, plan.serialize()}}};
}

/// While no plan is in progress, only presences are observed; observations of items are removed.
void Maintenance::trackPresencesOnly(const View& view, double nowMs) {
  ages_.forgetIf([](const std::string& name) { return name.rfind(kItemAgePrefix, 0) == 0; });
  for (const auto& [key, document] : view.documents) {
    if (isPresenceKey(key))
      ages_.unchangedMs(key, document.revision, nowMs);
  }
}

/// Changes the plan by one step and returns its description; empty if no step is possible.
std::string Maintenance::advance(Plan& plan, const View& view, double nowMs) {
  for (PlanItem& item : plan.items) {
    if (!inProgress(item.state))
      continue;
    std::string change = advanceItem(plan, item, view, nowMs);
    if (!change.empty())
      return change;
  }
  if (plan.state != PlanState::kRunning)
    return "";
  std::string change = drainNext(plan, instances_(), nowMs);
  if (!change.empty())
    return change;
  const bool unfinished =
      std::any_of(plan.items.begin(), plan.items.end(), [](const PlanItem& item) {
        return item.state == ItemState::kWaiting || inProgress(item.state);
      });
  if (unfinished)
    return "";
  plan.state = PlanState::kDone;
  return "all boxes are done";
}

std::string Maintenance::advanceItem(Plan& plan, PlanItem& item, const View& view, double nowMs) {
  const bool cancelled = plan.state == PlanState::kCancelled;
  const double sinceChangeMs =
      ages_.unchangedMs(kItemAgePrefix + plan.id + "/" + item.instance, item.changedAtStep, nowMs);
  switch (item.state) {
    case ItemState::kDraining:
      if (cancelled)
        return changeState(plan, item, ItemState::kWarming, "the plan was cancelled");
      if (!drainedEverywhere(plan, item, view, nowMs))
        return "";
      return changeState(plan, item, ItemState::kOut);
    case ItemState::kOut:
      if (cancelled)
        return changeState(plan, item, ItemState::kWarming, "the plan was cancelled");
      if (sinceChangeMs < plan.holdMs || (plan.confirm && !item.returnConfirmed))
        return "";
      return changeState(plan, item, ItemState::kWarming);
    case ItemState::kWarming:
      if (sinceChangeMs < config_.warmupMs)
        return "";
      return changeState(plan, item, ItemState::kDone);
    default:
      return "";
  }
}

/// Whether every live router applies the drain and has no open attempts at the instance.
bool Maintenance::drainedEverywhere(const Plan& plan,
                                    const PlanItem& item,
                                    const View& view,
                                    double nowMs) {
  bool anyAlive = false;
  for (const auto& [key, document] : view.documents) {
    if (!isPresenceKey(key))
      continue;
    const auto node = Presence::parse(document.value);
    if (!node || ages_.unchangedMs(key, document.revision, nowMs) >= config_.silentNodeMs)
      continue;
    anyAlive = true;
    if (node->plan != plan.id || node->steps < item.changedAtStep)
      return false;
    const auto open = node->open.find(item.instance);
    if (open != node->open.end() && open->second > 0)
      return false;
  }
  return anyAlive;
}

}  // namespace inference_router::coordination
