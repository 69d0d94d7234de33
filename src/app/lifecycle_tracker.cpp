#include "app/lifecycle_tracker.h"

namespace inference_router::app {

namespace {

constexpr double kCheckIntervalMs = 100;
constexpr double kUpdateIntervalMs = 500;
constexpr double kRemovedKeptMs = 600'000;  // that an instance is shown after it has left the list

}  // namespace

void LifecycleTracker::start() {
  tick();
}

void LifecycleTracker::tick() {
  if (server_.clock.nowMs() - updatedMs_ >= kUpdateIntervalMs)
    update();
  timer_ = server_.timers.schedule(server_.clock.nowMs() + kCheckIntervalMs, [this] { tick(); });
}

void LifecycleTracker::update() {
  const double now = server_.clock.nowMs();
  updatedMs_ = now;
  const auto& listed = server_.membership.listed();
  for (const auto& [id, entry] : listed) {
    const fleet::InstanceFacts facts = factsOf(id, entry);
    const auto lifecycle = lifecycles_.try_emplace(id, !facts.warm, now).first;
    fleet::reconcile(lifecycle->second, facts, now);
  }
  for (auto& [id, lifecycle] : lifecycles_)
    if (listed.count(id) == 0)
      fleet::reconcile(lifecycle, {}, now);
  forgetRemoved();
}

fleet::InstanceFacts LifecycleTracker::factsOf(const routing::InstanceId& id,
                                               const routing::EndpointRecord& entry) const {
  const fleet::Membership& membership = server_.membership;
  const routing::EndpointRecord effective = membership.effectiveOf(id).value_or(entry);
  const double warmupMs = core::toMs(setup_.settings.contract.warmupDuration);
  fleet::InstanceFacts facts;
  facts.listed = true;
  facts.warm =
      !effective.started || server_.clock.nowMs() - core::toMs(*effective.started) >= warmupMs;
  if (membership.excluded(id))
    facts.drainedBy = "operator";
  else if (membership.drained().count(id.value) != 0)
    facts.drainedBy = "maintenance";
  else if (entry.state != routing::EndpointState::kActive)
    facts.drainedBy = "list";
  facts.ejected = server_.dispatcher.isEjectedOrSilent(id);
  if (const upstream::InstanceEndpoint* endpoint = server_.directory.find(id))
    facts.reachable = endpoint->lastFailureMs <= endpoint->lastAnswerMs;
  facts.openRequests = server_.dispatcher.attemptsInFlightAt(id);
  return facts;
}

void LifecycleTracker::forgetRemoved() {
  const double now = server_.clock.nowMs();
  std::erase_if(lifecycles_, [now](const auto& entry) {
    const fleet::InstanceLifecycle& lifecycle = entry.second;
    return lifecycle.state() == fleet::LifecycleState::kRemoved &&
           now - lifecycle.sinceMs() > kRemovedKeptMs;
  });
}

std::string LifecycleTracker::report() {
  update();
  const double now = server_.clock.nowMs();
  std::string text;
  for (const auto& [id, lifecycle] : lifecycles_)
    text += "box " + id.value + " " + fleet::nameOf(lifecycle.state()) +
            " for_s=" + std::to_string(static_cast<long>((now - lifecycle.sinceMs()) / 1000)) +
            " open=" + std::to_string(server_.dispatcher.attemptsInFlightAt(id)) +
            " revision=" + std::to_string(lifecycle.revision()) +
            " by=" + (lifecycle.by().empty() ? "-" : lifecycle.by()) + " why=\"" +
            lifecycle.reason() + "\"\n";
  return text;
}

}  // namespace inference_router::app
