#include "coordination/maintenance.h"

#include <algorithm>
#include <set>

namespace inference_router::coordination {

namespace {

bool underWay(ItemState state) {
  return state == ItemState::kDraining || state == ItemState::kOut || state == ItemState::kWarming;
}

std::string reach(Plan& plan, PlanItem& item, ItemState state, const std::string& why = "") {
  item.state = state;
  item.why = why;
  item.changed = plan.steps + 1;
  return "box " + item.instance + " is " + nameOf(state) + (why.empty() ? "" : ": " + why);
}

std::optional<std::pair<Plan, std::uint64_t>> planIn(const View& view) {
  const auto it = view.docs.find(kPlanKey);
  if (it == view.docs.end())
    return std::nullopt;
  auto plan = Plan::parse(it->second.value);
  if (!plan)
    return std::nullopt;
  return std::pair(std::move(*plan), it->second.revision);
}

}  // namespace

std::optional<Step> Maintenance::next(const View& view, std::uint64_t fence, double nowMs) {
  const auto found = planIn(view);
  if (!found || found->first.over()) {
    // Only what belongs to a plan is remembered for it; routers' signs of life are looked at all
    // the time.
    seen_.forget([](const std::string& what) { return what.rfind("box ", 0) == 0; });
    for (const auto& [key, doc] : view.docs)
      if (key.rfind(kNodePrefix, 0) == 0)
        seen_.forMs(key, doc.revision, nowMs);
    return std::nullopt;
  }
  Plan plan = found->first;
  const std::string what = advance(plan, view, nowMs);
  if (what.empty())
    return std::nullopt;
  ++plan.steps;
  plan.fence = fence;
  return Step{"plan " + plan.id + ": " + what, {{kPlanKey, found->second, plan.text()}}};
}

std::string Maintenance::advance(Plan& plan, const View& view, double nowMs) {
  for (PlanItem& item : plan.items) {
    if (!underWay(item.state))
      continue;
    std::string what = advanceItem(plan, item, view, nowMs);
    if (!what.empty())
      return what;
  }
  if (plan.state == PlanState::kRunning)
    if (std::string what = beginNext(plan, instances_(), nowMs); !what.empty())
      return what;
  const bool left = std::any_of(plan.items.begin(), plan.items.end(), [](const PlanItem& item) {
    return item.state == ItemState::kWaiting || underWay(item.state);
  });
  if (left || plan.state != PlanState::kRunning)
    return "";
  plan.state = PlanState::kDone;
  return "all boxes are done";
}

std::string Maintenance::advanceItem(Plan& plan, PlanItem& item, const View& view, double nowMs) {
  const bool ending = plan.state == PlanState::kCancelled;
  const double since = seen_.forMs("box " + plan.id + "/" + item.instance, item.changed, nowMs);
  switch (item.state) {
    case ItemState::kDraining:
      if (ending)
        return reach(plan, item, ItemState::kWarming, "the plan was cancelled");
      return letGo(plan, item, view, nowMs) ? reach(plan, item, ItemState::kOut) : "";
    case ItemState::kOut:
      if (ending)
        return reach(plan, item, ItemState::kWarming, "the plan was cancelled");
      if (since < plan.holdMs || (plan.confirm && !item.back))
        return "";
      return reach(plan, item, ItemState::kWarming);
    case ItemState::kWarming:
      return since < config_.coldMs ? "" : reach(plan, item, ItemState::kDone);
    default:
      return "";
  }
}

// The list is gone through in its order; an instance whose role and cell has one under way waits
// for it, and holds up those behind it only where they are of the same role and cell.
std::string Maintenance::beginNext(Plan& plan, const FleetInstances& instances, double nowMs) {
  std::set<std::pair<std::string, std::uint32_t>> busy;
  const std::set<std::string> drained = plan.drained();
  for (const PlanItem& item : plan.items)
    if (const auto it = instances.find(item.instance);
        it != instances.end() && underWay(item.state))
      busy.emplace(it->second.role, it->second.cell);
  for (PlanItem& item : plan.items) {
    if (item.state != ItemState::kWaiting)
      continue;
    const auto it = instances.find(item.instance);
    if (it == instances.end())
      return reach(plan, item, ItemState::kSkipped, "it is in no list any more");
    if (!busy.emplace(it->second.role, it->second.cell).second)
      continue;
    std::size_t others = 0;
    for (const auto& [id, instance] : instances)
      others += id != item.instance && instance.role == it->second.role && instance.serves &&
                drained.count(id) == 0;
    // An instance that still warms after its own turn is one that serves, but not yet one to lean
    // on.
    for (const PlanItem& other : plan.items)
      if (const auto instance = instances.find(other.instance);
          other.state == ItemState::kWarming && instance != instances.end() &&
          instance->second.role == it->second.role && others > 0)
        --others;
    fleet::Drains drains;
    // By names of its own: those of a plan and an instance together may be longer than a command's.
    const auto answer = drains.handle({"step", "plan", item.instance, true, 0, {}, false},
                                      {true, others, it->second.role, 0}, nowMs);
    if (answer.code == fleet::DrainCode::kDone)
      return reach(plan, item, ItemState::kDraining);
  }
  return "";
}

// Every router that speaks has to have heard of the drain, and to have nothing open there.
bool Maintenance::letGo(const Plan& plan, const PlanItem& item, const View& view, double nowMs) {
  bool any = false;
  for (const auto& [key, doc] : view.docs) {
    if (key.rfind(kNodePrefix, 0) != 0)
      continue;
    const auto node = Presence::parse(doc.value);
    if (!node || seen_.forMs(key, doc.revision, nowMs) >= config_.silentNodeMs)
      continue;
    any = true;
    if (node->plan != plan.id || node->steps < item.changed)
      return false;
    const auto open = node->open.find(item.instance);
    if (open != node->open.end() && open->second > 0)
      return false;
  }
  return any;
}

// ---- Operators' words
// ------------------------------------------------------------------------------

namespace {

PlanAnswer no(std::string why) {
  return {std::move(why), std::nullopt, ""};
}

PlanAnswer start(const PlanCommand& command,
                 const std::optional<std::pair<Plan, std::uint64_t>>& found,
                 std::uint64_t revision,
                 const FleetInstances& instances,
                 double unixMs) {
  if (found && !found->first.over())
    return no("plan " + found->first.id + " of " + found->first.by + " is " +
              nameOf(found->first.state) + " (revision " + std::to_string(found->second) +
              "): cancel it first");
  if (command.instances.empty())
    return no("a plan names at least one box");
  if (command.instances.size() > Plan::kMaxInstances)
    return no("a plan has at most " + std::to_string(Plan::kMaxInstances) + " boxes");
  if (command.id.empty() || command.id.size() > Plan::kLongestWord ||
      command.by.size() > Plan::kLongestWord)
    return no("a plan has an id of 1 to 128 bytes");
  if (found && found->first.id == command.id)
    return no("a plan " + command.id + " has been before: give another id");
  Plan plan;
  plan.id = command.id;
  plan.by = command.by;
  plan.holdMs = command.holdMs;
  plan.confirm = command.confirm;
  plan.startedMs = unixMs;
  std::set<std::string> named;
  for (const std::string& instance : command.instances) {
    if (instances.count(instance) == 0)
      return no("no box has the id " + instance);
    if (!named.insert(instance).second)
      return no("box " + instance + " stands twice");
    plan.items.push_back({instance, ItemState::kWaiting, 0, false, ""});
  }
  return {"", Write{kPlanKey, revision, plan.text()},
          "plan " + plan.id + " begins with " + std::to_string(plan.items.size()) + " boxes"};
}

}  // namespace

PlanAnswer decide(const PlanCommand& command,
                  const View& view,
                  const FleetInstances& instances,
                  double unixMs) {
  const auto stored = view.docs.find(kPlanKey);
  const std::uint64_t revision = stored == view.docs.end() ? 0 : stored->second.revision;
  if (command.seen && *command.seen != revision)
    return no("the plan has revision " + std::to_string(revision) + ", not " +
              std::to_string(*command.seen));
  const auto found = planIn(view);
  // Damaged, or of a later program: not to be written over by chance.
  if (stored != view.docs.end() && !found)
    return no("the stored plan (revision " + std::to_string(revision) +
              ") cannot be read by this program");
  if (command.kind == PlanCommand::Kind::kStart)
    return start(command, found, revision, instances, unixMs);
  if (!found || found->first.over())
    return no("no plan is under way");
  Plan plan = found->first;
  const auto already = [&](PlanState state) { return plan.state == state; };
  const auto become = [&](PlanState state, const std::string& said) -> PlanAnswer {
    if (already(state))
      return {"", std::nullopt, said};
    if (already(PlanState::kCancelled))
      return no("plan " + plan.id + " was cancelled and is ending");
    plan.state = state;
    return {"", Write{kPlanKey, revision, plan.text()}, said};
  };
  switch (command.kind) {
    case PlanCommand::Kind::kPause:
      return become(PlanState::kPaused, "plan " + plan.id + " begins no other box");
    case PlanCommand::Kind::kResume:
      return become(PlanState::kRunning, "plan " + plan.id + " goes on");
    case PlanCommand::Kind::kCancel:
      return become(PlanState::kCancelled,
                    "plan " + plan.id + " is cancelled; its boxes come back");
    default:
      break;
  }
  PlanItem* item = command.instances.empty() ? nullptr : plan.item(command.instances.front());
  if (item == nullptr)
    return no("the plan has no such box");
  if (item->state != ItemState::kOut)
    return no("box " + item->instance + " is " + nameOf(item->state) + ", not out");
  const std::string said = "box " + item->instance + " comes back";
  if (item->back)
    return {"", std::nullopt, said};
  item->back = true;
  return {"", Write{kPlanKey, revision, plan.text()}, said};
}

}  // namespace inference_router::coordination
