/// The lifecycle of an instance as operators see it: a state machine that is reconciled with
/// observed facts. It does not influence routing, which uses the effective membership. No I/O; the
/// caller passes the current time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace inference_router::fleet {

/// The states; nameOf() gives their names in reports.
enum class LifecycleState {
  kWarming,
  kActive,
  kDraining,
  kDrained,
  kUnreachable,
  kEjected,
  kRemoved
};
const char* nameOf(LifecycleState state);

/// The events that cause transitions.
enum class LifecycleEvent {
  kListed,          ///< discovery lists the instance, which may be cold
  kWarm,            ///< the instance has been up for the warm-up time
  kDrainRequested,  ///< by an operator or by discovery
  kIdle,            ///< no request is in flight at the instance
  kUndrained,       ///< the drain ended; the instance counts as just started
  kEjected,         ///< routing ejected the instance
  kReinstated,      ///< routing uses the instance again
  kConnectionLost,  ///< no connection succeeds
  kReconnected,     ///< a connection succeeded
  kDelisted         ///< discovery no longer lists the instance
};
const char* nameOf(LifecycleEvent event);

/// The state machine of one instance.
class InstanceLifecycle {
 public:
  /// An instance that was just listed.
  InstanceLifecycle(bool cold, double nowMs)
      : state_(cold ? LifecycleState::kWarming : LifecycleState::kActive), sinceMs_(nowMs) {}

  /// The result of an event.
  struct Outcome {
    bool applied;         ///< false: no transition from this state, and nothing changed
    std::string message;  ///< the new state, or why the event was not applied
  };
  /// Applies an event. reason, by: shown to operators; the default reason is the event's name.
  Outcome apply(LifecycleEvent event,
                double nowMs,
                const std::string& reason = "",
                const std::string& by = "");

  LifecycleState state() const { return state_; }
  double sinceMs() const { return sinceMs_; }
  const std::string& reason() const { return reason_; }
  const std::string& by() const { return by_; }
  std::uint64_t revision() const { return revision_; }

 private:
  // Nothing if the event has no transition from the current state.
  std::optional<LifecycleState> nextState(LifecycleEvent event) const;

  LifecycleState state_;
  LifecycleState resumeState_ =
      LifecycleState::kActive;  // to return to from kEjected or kUnreachable
  double sinceMs_;
  std::string reason_ = "listed", by_ = "list";
  std::uint64_t revision_ = 1;
};

/// The observed facts of an instance, from which its events are derived.
struct InstanceFacts {
  bool listed = false;
  bool warm = false;
  std::string drainedBy;  ///< empty: not drained
  bool ejected = false;
  bool reachable = true;
  std::size_t openRequests = 0;
};

/// Applies the events that lead from the current state to the one that the facts imply.
void reconcile(InstanceLifecycle& lifecycle, const InstanceFacts& facts, double nowMs);

}  // namespace inference_router::fleet
