/// Feeds the decision module with events, one at a time and in the order they came, and passes on
/// the actions that it answers with. Belongs to one thread.
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
  /// What the loop's owner does. All may post events.
  struct Callbacks {
    std::function<void(const routing::Action&)> carryOut;
    /// All actions of one event are carried out.
    std::function<void()> onEventHandled;
    /// The queue is empty. Names the requests that arrived, or whose attempts ended or that were
    /// abandoned since it was last; some may be named more than once.
    std::function<void(const std::vector<routing::RequestId>&)> onIdle;
  };

  DecisionLoop(const routing::Settings& settings,
               std::uint64_t seed,
               const Clock& clock,
               Callbacks callbacks);
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /// Hands an event to the decision module: before this returns, or, from within a callback, once
  /// the actions of the event under way are carried out.
  void post(routing::Event event);
  /// Whether an event is being handled.
  bool running() const { return running_; }

  void reconfigure(const routing::Settings& settings) { router_.reconfigure(settings); }
  /// Whether the decision module ejected a listed instance by its own judgement.
  bool isEjectedOrSilent(const routing::InstanceId& instance) const;

  /// Sees every action before it is carried out. One observer at most.
  void onAction(std::function<void(const routing::Action&)> observer);
  /// Sees every event before the decision module does. Any number of observers.
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
