/// The states of a lease as one candidate sees it.
#pragma once

namespace inference_router::coordination {

enum class LeaseState {
  kCandidate,   ///< Waits until it may send an acquire.
  kAcquiring,   ///< An acquire is under way.
  kHolding,     ///< Holds the lease; the last renewal was answered.
  kDoubtful,    ///< Holds the lease; a renewal was not answered.
  kExpired,     ///< Held it until now, by its own clock or by the store's answer.
  kReleasing,   ///< A release is under way; it does not act any more.
  kBackingOff,  ///< Pauses before it is a candidate again.
};
/// The state's name in logs and reports.
const char* nameOf(LeaseState state);
/// Whether the state machine may go directly from the one state to the other.
bool canTransition(LeaseState from, LeaseState to);

}  // namespace inference_router::coordination
