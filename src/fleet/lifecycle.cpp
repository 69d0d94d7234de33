#include "fleet/lifecycle.h"

#include <array>

namespace inference_router::fleet {

const char* nameOf(LifecycleState state) {
  constexpr std::array<const char*, 7> kNames{"warming",     "active",  "draining", "drained",
                                              "unreachable", "avoided", "gone"};
  return kNames[static_cast<std::size_t>(state)];
}

const char* nameOf(LifecycleEvent event) {
  constexpr std::array<const char*, 10> kNames{"listed",     "warm",    "drain asked", "idle",
                                               "drain over", "avoided", "trusted",     "lost",
                                               "reached",    "delisted"};
  return kNames[static_cast<std::size_t>(event)];
}

// A drain takes precedence over failures: a draining instance that cannot be reached is still
// draining. Only discovery can bring back a removed instance.
std::optional<LifecycleState> InstanceLifecycle::nextState(LifecycleEvent event) const {
  using S = LifecycleState;
  const bool serving = state_ == S::kWarming || state_ == S::kActive;
  const bool faulty = state_ == S::kEjected || state_ == S::kUnreachable;
  const bool draining = state_ == S::kDraining || state_ == S::kDrained;
  switch (event) {
    case LifecycleEvent::kListed:
      return state_ == S::kRemoved ? std::optional(S::kWarming) : std::nullopt;
    case LifecycleEvent::kWarm:
      return state_ == S::kWarming ? std::optional(S::kActive) : std::nullopt;
    case LifecycleEvent::kDrainRequested:
      return serving || faulty ? std::optional(S::kDraining) : std::nullopt;
    case LifecycleEvent::kIdle:
      return state_ == S::kDraining ? std::optional(S::kDrained) : std::nullopt;
    case LifecycleEvent::kUndrained:
      return draining ? std::optional(S::kWarming) : std::nullopt;
    case LifecycleEvent::kEjected:
      return serving ? std::optional(S::kEjected) : std::nullopt;
    case LifecycleEvent::kReinstated:
      return state_ == S::kEjected ? std::optional(resumeState_) : std::nullopt;
    case LifecycleEvent::kConnectionLost:
      return serving || state_ == S::kEjected ? std::optional(S::kUnreachable) : std::nullopt;
    case LifecycleEvent::kReconnected:
      return state_ == S::kUnreachable ? std::optional(resumeState_) : std::nullopt;
    case LifecycleEvent::kDelisted:
      return state_ != S::kRemoved ? std::optional(S::kRemoved) : std::nullopt;
  }
  return std::nullopt;
}

InstanceLifecycle::Outcome InstanceLifecycle::apply(LifecycleEvent event,
                                                    double nowMs,
                                                    const std::string& reason,
                                                    const std::string& by) {
  const auto next = nextState(event);
  if (!next)
    return {false, std::string(nameOf(event)) + " is not a valid event in state " + nameOf(state_)};
  if (state_ == LifecycleState::kWarming || state_ == LifecycleState::kActive)
    resumeState_ = state_;
  state_ = *next;
  sinceMs_ = nowMs;
  reason_ = reason.empty() ? nameOf(event) : reason;
  by_ = by;
  ++revision_;
  return {true, nameOf(state_)};
}

void reconcile(InstanceLifecycle& lifecycle, const InstanceFacts& facts, double nowMs) {
  using S = LifecycleState;
  using E = LifecycleEvent;
  if (!facts.listed) {
    if (lifecycle.state() != S::kRemoved)
      lifecycle.apply(E::kDelisted, nowMs, "", "list");
    return;
  }
  if (lifecycle.state() == S::kRemoved)
    lifecycle.apply(E::kListed, nowMs, "", "list");
  const bool draining = lifecycle.state() == S::kDraining || lifecycle.state() == S::kDrained;
  if (!facts.drainedBy.empty()) {
    if (!draining)
      lifecycle.apply(E::kDrainRequested, nowMs, "", facts.drainedBy);
    if (lifecycle.state() == S::kDraining && facts.openRequests == 0)
      lifecycle.apply(E::kIdle, nowMs, "", facts.drainedBy);
    return;
  }
  if (draining)
    lifecycle.apply(E::kUndrained, nowMs, "", "operator");
  if (lifecycle.state() == S::kUnreachable && facts.reachable)
    lifecycle.apply(E::kReconnected, nowMs, "", "links");
  if (lifecycle.state() == S::kEjected && !facts.ejected)
    lifecycle.apply(E::kReinstated, nowMs, "", "module");
  if (lifecycle.state() == S::kWarming && facts.warm)
    lifecycle.apply(E::kWarm, nowMs, "", "time");
  if (!facts.reachable && lifecycle.state() != S::kUnreachable)
    lifecycle.apply(E::kConnectionLost, nowMs, "", "links");
  else if (facts.ejected && lifecycle.state() != S::kEjected &&
           lifecycle.state() != S::kUnreachable)
    lifecycle.apply(E::kEjected, nowMs, "", "module");
}

}  // namespace inference_router::fleet
