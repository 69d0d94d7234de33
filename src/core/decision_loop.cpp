#include "core/decision_loop.h"

#include <utility>
#include <variant>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

// The request that an event may have completed; null if the event completes none.
const RequestId* completedBy(const Event& event) {
  if (const auto* ended = std::get_if<AttemptEnded>(&event))
    return &ended->request;
  if (const auto* arrival = std::get_if<Arrival>(&event))
    return &arrival->request;
  if (const auto* abandoned = std::get_if<RequestAbandoned>(&event))
    return &abandoned->request;
  return nullptr;
}

}  // namespace

DecisionLoop::DecisionLoop(const Settings& settings,
                           std::uint64_t seed,
                           const Clock& clock,
                           Callbacks callbacks)
    : clock_(clock), router_(settings, seed), callbacks_(std::move(callbacks)) {}

bool DecisionLoop::isEjectedOrSilent(const InstanceId& instance) const {
  return router_.avoids(toModuleTime(clock_.nowMs()), instance);
}

void DecisionLoop::onAction(std::function<void(const Action&)> observer) {
  actionObserver_ = std::move(observer);
}

void DecisionLoop::onEvent(std::function<void(const Event&)> observer) {
  eventObservers_.push_back(std::move(observer));
}

// Events that are posted while actions are executed are queued.
void DecisionLoop::post(Event event) {
  events_.push_back(std::move(event));
  if (running_)
    return;
  running_ = true;
  std::vector<RequestId> completed;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    if (const RequestId* request = completedBy(next))
      completed.push_back(*request);
    handle(next);
  }
  running_ = false;
  callbacks_.onIdle(completed);
}

void DecisionLoop::handle(const Event& event) {
  actions_.clear();
  for (const auto& observer : eventObservers_)
    observer(event);
  router_.handle(toModuleTime(clock_.nowMs()), event, actions_);
  for (const Action& action : actions_) {
    if (actionObserver_)
      actionObserver_(action);
    callbacks_.execute(action);
  }
  callbacks_.onEventHandled();
}

}  // namespace inference_router::core
