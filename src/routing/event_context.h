// Context of one call of Router::handle().
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "inference_router/actions.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// Time of the event being handled, and the actions emitted so far. Its lifetime is that of the
/// call.
class EventContext {
 public:
  EventContext(Time now, std::vector<Action>& actions) : now_(now), actions_(actions) {}

  Time now() const { return now_; }

  /// Appends an action; actions are executed in the order in which they were emitted.
  void emit(Action action) { actions_.push_back(std::move(action)); }

  /// Appends a log message.
  void log(std::string text) { emit(LogMessage{std::move(text)}); }

 private:
  Time now_;
  std::vector<Action>& actions_;
};

}  // namespace inference_router::routing
