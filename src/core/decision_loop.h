/// Passes events to the decision module, one at a time and in the order in which they were posted,
/// and passes on the actions that it returns. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "core/clock.h"
#include "inference_router/router.h"

namespace inference_router::core {

class DecisionLoop {
 public:
  /// Functions that the loop calls. Each of them may post events.
  struct Callbacks {
    std::function<void(const routing::Action&)> execute;
    /// Called after all actions of one event have been executed.
    std::function<void()> onEventHandled;
    /// Called when the queue is empty, with the requests that arrived, were abandoned or had an
    /// attempt end since the last call. A request may be listed more than once.
    std::function<void(const std::vector<routing::RequestId>&)> onIdle;
  };

  DecisionLoop(const routing::Settings& settings,
               std::uint64_t seed,
               const Clock& clock,
               Callbacks callbacks);
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /// Has the decision module handle an event: before this returns or, if called from within a
  /// callback, after the actions of the current event.
  void post(routing::Event event);
  /// Whether an event is being handled.
  bool running() const { return running_; }

  void reconfigure(const routing::Settings& settings) { router_.reconfigure(settings); }
  /// Whether the decision module sends no requests to a listed instance for now, as the instance is
  /// ejected or silent.
  bool isEjectedOrSilent(const routing::InstanceId& instance) const;
  /// What was sent to instances in slow start, and what was not.
  const routing::SlowStartTotals& slowStartTotals() const { return router_.slowStartTotals(); }

  /// Sets the observer that gets every action before it is executed. There is at most one.
  void onAction(std::function<void(const routing::Action&)> observer);
  /// Adds an observer that gets every event before the decision module does.
  void onEvent(std::function<void(const routing::Event&)> observer);

 private:
  void handle(const routing::Event& event);

  const Clock& clock_;
  routing::Router router_;
  Callbacks callbacks_;
  std::function<void(const routing::Action&)> actionObserver_;
  std::vector<std::function<void(const routing::Event&)>> eventObservers_;
  std::deque<routing::Event> events_;
  std::vector<routing::Action> actions_;
  bool running_ = false;
};

}  // namespace inference_router::core
