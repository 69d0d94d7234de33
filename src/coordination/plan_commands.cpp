#include "coordination/plan_commands.h"

#include <set>

#include "coordination/plan.h"

namespace inference_router::coordination {

namespace {

PlanDecision rejected(std::string error) {
  return {std::move(error), std::nullopt, ""};
}

/// Returns why this command cannot start a plan; empty if it can.
std::string startError(const PlanCommand& command, const std::optional<StoredPlan>& stored) {
  if (stored && !stored->plan.finished())
    return "plan " + stored->plan.id + " of " + stored->plan.startedBy + " is " +
           nameOf(stored->plan.state) + " (revision " + std::to_string(stored->revision) +
           "): cancel it first";
  if (command.instances.empty())
    return "a plan needs at least one box";
  if (command.instances.size() > Plan::kMaxInstances)
    return "a plan has at most " + std::to_string(Plan::kMaxInstances) + " boxes";
  if (command.id.empty() || command.id.size() > Plan::kMaxNameBytes ||
      command.operatorName.size() > Plan::kMaxNameBytes)
    return "the plan's id must have 1 to 128 bytes, the operator's name at most 128";
  if (stored && stored->plan.id == command.id)
    return "plan " + command.id + " existed before: choose another id";
  return "";
}

PlanDecision start(const PlanCommand& command,
                   const std::optional<StoredPlan>& stored,
                   std::uint64_t revision,
                   const FleetInstances& instances,
                   double unixMs) {
  if (std::string error = startError(command, stored); !error.empty())
    return rejected(std::move(error));
  Plan plan;
  plan.id = command.id;
  plan.startedBy = command.operatorName;
  plan.holdMs = command.holdMs;
  plan.confirm = command.confirm;
  plan.startedMs = unixMs;
  std::set<std::string> listed;
  for (const std::string& instance : command.instances) {
    if (instances.count(instance) == 0)
      return rejected("no box has the id " + instance);
    if (!listed.insert(instance).second)
      return rejected("box " + instance + " is listed twice");
    plan.items.push_back({instance, ItemState::kWaiting, 0, false, ""});
  }
  return {"", Write{kPlanKey, revision, plan.serialize()},
          "plan " + plan.id + " started with " + std::to_string(plan.items.size()) + " boxes"};
}

PlanDecision setState(StoredPlan stored, PlanState state, const std::string& confirmation) {
  Plan& plan = stored.plan;
  if (plan.state == state)
    return {"", std::nullopt, confirmation};
  if (plan.state == PlanState::kCancelled)
    return rejected("plan " + plan.id + " was cancelled and is ending");
  plan.state = state;
  return {"", Write{kPlanKey, stored.revision, plan.serialize()}, confirmation};
}

PlanDecision confirmReturn(const PlanCommand& command, StoredPlan stored) {
  Plan& plan = stored.plan;
  PlanItem* item = command.instances.empty() ? nullptr : plan.item(command.instances.front());
  if (item == nullptr)
    return rejected("the plan has no such box");
  if (item->state != ItemState::kOut)
    return rejected("box " + item->instance + " is " + nameOf(item->state) + ", not out");
  const std::string confirmation = "box " + item->instance + " returns to service";
  if (item->returnConfirmed)
    return {"", std::nullopt, confirmation};
  item->returnConfirmed = true;
  return {"", Write{kPlanKey, stored.revision, plan.serialize()}, confirmation};
}

}  // namespace

PlanDecision decide(const PlanCommand& command,
                    const View& view,
                    const FleetInstances& instances,
                    double unixMs) {
  const auto document = view.documents.find(kPlanKey);
  const bool exists = document != view.documents.end();
  const std::uint64_t revision = exists ? document->second.revision : 0;
  if (command.expectedRevision && *command.expectedRevision != revision)
    return rejected("the plan has revision " + std::to_string(revision) + ", not " +
                    std::to_string(*command.expectedRevision));
  const auto stored = findPlan(view.documents);
  // A plan that is damaged or was written by a later version of the program is never overwritten.
  if (exists && !stored)
    return rejected("the stored plan (revision " + std::to_string(revision) +
                    ") cannot be read by this program");
  if (command.kind == PlanCommand::Kind::kStart)
    return start(command, stored, revision, instances, unixMs);
  if (!stored || stored->plan.finished())
    return rejected("no plan is in progress");
  const std::string plan = "plan " + stored->plan.id;
  switch (command.kind) {
    case PlanCommand::Kind::kPause:
      return setState(*stored, PlanState::kPaused, plan + " drains no further boxes");
    case PlanCommand::Kind::kResume:
      return setState(*stored, PlanState::kRunning, plan + " resumed");
    case PlanCommand::Kind::kCancel:
      return setState(*stored, PlanState::kCancelled,
                      plan + " is cancelled; its boxes return to service");
    default:
      return confirmReturn(command, *stored);
  }
}

}  // namespace inference_router::coordination
