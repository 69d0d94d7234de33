// Routing policies for simulated days, and a node that checks the invariants of its policy.
#pragma once

#include <functional>
#include <memory>

#include "support/drawn_day.h"
#include "support/invariant_checker.h"

namespace inference_router::routing {

using Policy = std::function<void(Time, const Event&, std::vector<Action>&)>;

// Baseline policy: sends each request to a random active instance and never retries.
class RandomPolicy {
 public:
  RandomPolicy(const Settings& settings, std::uint64_t seed) : settings_(settings), draw_(seed) {}
  void operator()(Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* update = std::get_if<EndpointListUpdate>(&event))
      for (const EndpointRecord& entry : update->entries)
        fleet_[entry.instance] = entry;
    if (const auto* arrival = std::get_if<Arrival>(&event)) {
      const PendingRequest& pending =
          pending_[arrival->request] = {arrival->cls, now + arrival->timeLeft};
      send(arrival->request, pending, Role::kPrefill, actions);
    }
    if (const auto* abandoned = std::get_if<RequestAbandoned>(&event))
      actions.push_back(ReleaseState{abandoned->request});
    const auto* ended = std::get_if<AttemptEnded>(&event);
    if (ended == nullptr || ended->outcome == AttemptOutcome::kServed)
      return;
    const PendingRequest& pending = pending_.at(ended->request);
    if (ended->outcome == AttemptOutcome::kPrefilled && !ended->concluded)
      return send(ended->request, pending, Role::kDecode, actions);
    actions.push_back(ReleaseState{ended->request});
    if (!ended->concluded)
      actions.push_back(FailRequest{ended->request});
  }

 private:
  struct PendingRequest {
    ClassIndex cls;
    Time deadline;
  };
  void send(const RequestId& id,
            const PendingRequest& pending,
            Role role,
            std::vector<Action>& actions) {
    std::vector<InstanceId> candidates;
    for (const auto& [instance, entry] : fleet_) {
      const Role entryRole = settings_.kinds[entry.kind.value].role;
      if (entry.state == EndpointState::kActive && (entryRole == role || entryRole == Role::kMixed))
        candidates.push_back(instance);
    }
    if (candidates.empty()) {
      actions.push_back(ReleaseState{id});
      actions.push_back(FailRequest{id});
      return;
    }
    const auto n =
        static_cast<std::size_t>(oneOf(draw_, 0, static_cast<int>(candidates.size()) - 1));
    actions.push_back(DispatchAttempt{id, candidates[n], pending.deadline});
  }

  Settings settings_;
  Draw draw_;
  std::map<InstanceId, EndpointRecord> fleet_;
  std::map<RequestId, PendingRequest> pending_;
};

// One node: a policy and, if `checked`, the invariant checks on it.
class Node : public InvariantChecker {
 public:
  Node(const Settings& settings, Policy policy, bool checked)
      : InvariantChecker(settings), policy_(std::move(policy)), checked_(checked) {}

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = now;
    std::vector<Action> actions;
    if (const auto* arrival = std::get_if<Arrival>(&event))
      trackArrival(arrival->request, arrival->cls, arrival->timeLeft);
    if (const auto* opened = std::get_if<StreamOpened>(&event))
      trackFirstToken(requests_.at(opened->request));
    if (const auto* abandoned = std::get_if<RequestAbandoned>(&event))
      requests_.at(abandoned->request).finished = true;
    if (const auto* update = std::get_if<EndpointListUpdate>(&event))
      for (const EndpointRecord& entry : update->entries)
        trackEndpoint(entry);
    if (const auto* end = std::get_if<AttemptEnded>(&event)) {
      AttemptEnded concluded = *end;
      concluded.concluded = trackEnd(requests_.at(end->request), end->attempt, end->outcome).second;
      policy_(now, concluded, actions);
    } else {
      policy_(now, event, actions);
    }
    for (const Action& action : actions)
      std::visit([this](const auto& act) { check(act); }, action);
    return actions;
  }
  void checkInvariants(Time now) {
    now_ = now;
    if (checked_)
      checkOpenRequests();
  }
  bool isUnanswered(const RequestId& id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && !it->second.finished;
  }

 private:
  template <class Act>
  void check(const Act& act) {
    if (checked_)
      return InvariantChecker::check(act);
    if constexpr (std::is_same_v<Act, DispatchAttempt>)
      requests_.at(act.request).attemptsInFlight[requests_.at(act.request).attemptsSent++] = {};
    if constexpr (std::is_same_v<Act, FailRequest>)
      requests_.at(act.request).finished = true;
  }

  Policy policy_;
  bool checked_;
};

}  // namespace inference_router::routing
