// What one call of Router::handle() works with.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "inference_router/actions.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// The time of the event that is being handled, and the actions decided so far. Lives as long as
/// the call.
class EventContext {
 public:
  EventContext(Time now, std::vector<Action>& actions) : now_(now), actions_(actions) {}

  Time now() const { return now_; }

  /// Appends an action; actions are done in the order in which they were emitted.
  void emit(Action action) { actions_.push_back(std::move(action)); }

  /// Appends a line for the log.
  void log(std::string text) { emit(LogMessage{std::move(text)}); }

 private:
  Time now_;
  std::vector<Action>& actions_;
};

}  // namespace inference_router::routing
