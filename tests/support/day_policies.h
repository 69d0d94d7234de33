// What may decide on a drawn day, and one node that keeps its rules in sight.
#pragma once

#include <functional>
#include <memory>

#include "support/drawn_day.h"
#include "support/rule_book.h"

namespace inference_router::routing {

using Policy = std::function<void(Time, const Event&, std::vector<Action>&)>;

// Any instance that fits, and what does not end well there is over.
class Plainest {
 public:
  Plainest(const Settings& settings, std::uint64_t seed) : set_(settings), draw_(seed) {}
  void operator()(Time now, const Event& event, std::vector<Action>& actions) {
    if (const auto* news = std::get_if<EndpointListUpdate>(&event))
      for (const EndpointRecord& entry : news->entries)
        fleet_[entry.instance] = entry;
    if (const auto* told = std::get_if<Arrival>(&event)) {
      const Waiting& w = waiting_[told->request] = {told->cls, now + told->timeLeft};
      send(told->request, w, Role::kPrefill, actions);
    }
    if (const auto* lapsed = std::get_if<RequestAbandoned>(&event))
      actions.push_back(ReleaseState{lapsed->request});
    const auto* ended = std::get_if<AttemptEnded>(&event);
    if (ended == nullptr || ended->outcome == AttemptOutcome::kServed)
      return;
    const Waiting& w = waiting_.at(ended->request);
    if (ended->outcome == AttemptOutcome::kPrefilled && !ended->concluded)
      return send(ended->request, w, Role::kDecode, actions);
    actions.push_back(ReleaseState{ended->request});
    if (!ended->concluded)
      actions.push_back(FailRequest{ended->request});
  }

 private:
  struct Waiting {
    ClassIndex cls;
    Time deadline;
  };
  void send(const RequestId& id, const Waiting& w, Role role, std::vector<Action>& actions) {
    std::vector<InstanceId> fit;
    for (const auto& [instance, entry] : fleet_) {
      const Role its = set_.kinds[entry.kind.value].role;
      if (entry.state == EndpointState::kActive && (its == role || its == Role::kMixed))
        fit.push_back(instance);
    }
    if (fit.empty())
      return void((actions.push_back(ReleaseState{id}), actions.push_back(FailRequest{id})));
    const auto n = static_cast<std::size_t>(oneOf(draw_, 0, static_cast<int>(fit.size()) - 1));
    actions.push_back(DispatchAttempt{id, fit[n], w.deadline});
  }

  Settings set_;
  Draw draw_;
  std::map<InstanceId, EndpointRecord> fleet_;
  std::map<RequestId, Waiting> waiting_;
};

// One router: what decides, and what may be seen of it.
class Node : public RuleBook {
 public:
  Node(const Settings& settings, Policy policy, bool checked)
      : RuleBook(settings), policy_(std::move(policy)), checked_(checked) {}

  std::vector<Action> give(Time now, const Event& event) {
    now_ = now;
    std::vector<Action> actions;
    if (const auto* told = std::get_if<Arrival>(&event))
      arrived(told->request, told->cls, told->timeLeft);
    if (const auto* opens = std::get_if<StreamOpened>(&event))
      opened(held_.at(opens->request));
    if (const auto* lapsed = std::get_if<RequestAbandoned>(&event))
      held_.at(lapsed->request).over = true;
    if (const auto* news = std::get_if<EndpointListUpdate>(&event))
      for (const EndpointRecord& entry : news->entries)
        list(entry);
    if (const auto* end = std::get_if<AttemptEnded>(&event)) {
      AttemptEnded whole = *end;
      whole.concluded = ended(held_.at(end->request), end->attempt, end->outcome).second;
      policy_(now, whole, actions);
    } else {
      policy_(now, event, actions);
    }
    for (const Action& action : actions)
      std::visit([this](const auto& act) { see(act); }, action);
    return actions;
  }
  void look(Time now) {
    now_ = now;
    if (checked_)
      checkStanding();
  }
  bool waits(const RequestId& id) const {
    const auto it = held_.find(id);
    return it != held_.end() && !it->second.over;
  }

 private:
  template <class Act>
  void see(const Act& act) {
    if (checked_)
      return RuleBook::see(act);
    if constexpr (std::is_same_v<Act, DispatchAttempt>)
      held_.at(act.request).out[held_.at(act.request).sent++] = {};
    if constexpr (std::is_same_v<Act, FailRequest>)
      held_.at(act.request).over = true;
  }

  Policy policy_;
  bool checked_;
};

}  // namespace inference_router::routing
