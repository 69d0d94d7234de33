#include "app/plan_follower.h"

#include <spdlog/spdlog.h>

#include <set>
#include <utility>

namespace inference_router::app {

using coordination::Plan;

void PlanFollower::apply(const coordination::View& view) {
  const auto stored = view.documents.find(coordination::kPlanKey);
  const bool exists = stored != view.documents.end();
  auto plan = exists ? Plan::parse(stored->second.value) : std::nullopt;
  if (exists && !plan) {
    ++server_.counters["coordination.unreadable"];
    return;
  }
  if (plan && isBehind(*plan))
    return refuse(*plan);
  refusalLogged_ = false;
  plan_ = std::move(plan);
  drainInstances();
}

bool PlanFollower::isBehind(const Plan& plan) const {
  return plan_ && plan.id == plan_->id && (plan.steps < plan_->steps || plan.fence < plan_->fence);
}

void PlanFollower::refuse(const Plan& plan) {
  ++server_.counters["coordination.behind"];
  if (!std::exchange(refusalLogged_, true))
    spdlog::error(
        "coordination: plan {} is at step {}, and step {} was carried out; it is not followed",
        plan.id, plan.steps, plan_->steps);
}

void PlanFollower::drainInstances() {
  const std::set<std::string> drained =
      plan_ && !plan_->finished() ? plan_->drained() : std::set<std::string>();
  const auto update = server_.membership.setPlannedDrains(drained, server_.clock.nowMs());
  if (!update)
    return;
  for (const routing::EndpointRecord& entry : update->entries) {
    const bool isDrained = drained.count(entry.instance.value) != 0;
    spdlog::info("maintenance: box {} is {}", entry.instance.value, isDrained ? "drained" : "back");
    const upstream::InstanceEndpoint* endpoint = server_.directory.find(entry.instance);
    if (!isDrained && endpoint != nullptr)
      server_.pool.dropIdle(endpoint->address);
  }
  server_.dispatcher.list(*update);
}

std::string PlanFollower::report(const coordination::View& view, bool storeRead) const {
  if (!storeRead && !plan_)
    return "plan unknown: the store is not read\n";
  if (!plan_)
    return "plan none\n";
  const auto stored = view.documents.find(coordination::kPlanKey);
  const std::uint64_t revision = stored == view.documents.end() ? 0 : stored->second.revision;
  std::string text =
      fmt::format("plan {} state={} by={} revision={} steps={} fence={}{}\n", plan_->id,
                  coordination::nameOf(plan_->state), plan_->startedBy, revision, plan_->steps,
                  plan_->fence, storeRead ? "" : " as last heard");
  for (const coordination::PlanItem& item : plan_->items)
    text += fmt::format("item {} {} at_step={} why=\"{}\"\n", item.instance,
                        coordination::nameOf(item.state), item.changedAtStep, item.reason);
  return text;
}

}  // namespace inference_router::app
