/// The lifecycle of an instance as operators see it: a state machine that is reconciled with
/// observed facts. It does not influence routing, which uses the effective membership. No I/O; the
/// clock is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace inference_router::fleet {

/// Names in reports are given by nameOf.
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

/// What moves an instance from one state to another.
enum class LifecycleEvent {
  kListed,          ///< discovery lists it; it may be cold
  kWarm,            ///< it has been up for the warm-up time
  kDrainRequested,  ///< by an operator or by discovery
  kIdle,            ///< no request is open on it
  kUndrained,       ///< the drain was ended; it counts as freshly started
  kEjected,         ///< routing ejected it
  kReinstated,      ///< routing uses it again
  kConnectionLost,  ///< no connection succeeds
  kReconnected,     ///< a connection succeeded
  kDelisted         ///< discovery lists it no more
};
const char* nameOf(LifecycleEvent event);

/// The state machine of one instance.
class InstanceLifecycle {
 public:
  /// An instance that was just listed.
  InstanceLifecycle(bool cold, double nowMs)
      : state_(cold ? LifecycleState::kWarming : LifecycleState::kActive), sinceMs_(nowMs) {}

  /// applied: the transition was made. Otherwise nothing changed, and the message says why.
  struct Outcome {
    bool applied;
    std::string message;
  };
  /// reason, by: for operators; the default reason is the name of the event.
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
  std::optional<LifecycleState> nextState(LifecycleEvent event) const;

  LifecycleState state_;
  LifecycleState resumeState_ = LifecycleState::kActive;  // state after kEjected or kUnreachable
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

/// Applies the events that lead from the present state to the facts.
void reconcile(InstanceLifecycle& lifecycle, const InstanceFacts& facts, double nowMs);

}  // namespace inference_router::fleet
