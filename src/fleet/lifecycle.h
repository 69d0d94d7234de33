// The life of a model box as operators see it: one state machine, fed by facts. It decides nothing about
// routing; the module sees the effective membership only. No I/O; the clock is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace dahliastall::fleet {

enum class LifecycleState { kWarming, kActive, kDraining, kDrained, kUnreachable, kAvoided, kGone };
const char* nameOf(LifecycleState state);

enum class LifecycleEvent {
  kListed,      // the list has it, and it may be cold
  kWarm,        // it has been up long enough
  kDrainAsked,  // by an operator or by the list
  kIdle,        // nothing is open on it any more
  kDrainOver,   // lifted: it counts as freshly started
  kAvoided,     // the module passes it over
  kTrusted,     // and does not any more
  kLost,        // no connection to it comes up
  kReached,     // one did
  kDelisted     // it is gone
};
const char* nameOf(LifecycleEvent event);

class InstanceLifecycle {
 public:
  // A box that has just been listed.
  InstanceLifecycle(bool cold, double nowMs)
      : state_(cold ? LifecycleState::kWarming : LifecycleState::kActive), sinceMs_(nowMs) {}

  // What followed from it, or why it cannot follow here: then nothing has changed.
  struct Outcome {
    bool legal;
    std::string why;
  };
  Outcome apply(LifecycleEvent event, double nowMs, const std::string& why = "", const std::string& by = "");

  LifecycleState state() const { return state_; }
  double sinceMs() const { return sinceMs_; }
  const std::string& why() const { return why_; }
  const std::string& by() const { return by_; }
  std::uint64_t revision() const { return revision_; }

 private:
  std::optional<LifecycleState> next(LifecycleEvent event) const;

  LifecycleState state_;
  LifecycleState resumeState_ = LifecycleState::kActive;  // what an avoided or unreachable one comes back to
  double sinceMs_;
  std::string why_ = "listed", by_ = "list";
  std::uint64_t revision_ = 1;
};

// What is so now, from which the events of a box follow.
struct InstanceFacts {
  bool listed = false;
  bool warm = false;
  std::string drainedBy;  // empty: nobody asked for a drain
  bool avoided = false;
  bool reachable = true;
  std::size_t open = 0;
};

// Brings a life up to the facts: the events that lead there, each of them legal.
void reconcile(InstanceLifecycle& lifecycle, const InstanceFacts& facts, double nowMs);

}  // namespace dahliastall::fleet
