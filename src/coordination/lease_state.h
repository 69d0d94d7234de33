/// The states of a lease on the candidate's side.
#pragma once

namespace inference_router::coordination {

enum class LeaseState {
  kCandidate,   ///< Waiting to send an acquire.
  kAcquiring,   ///< An acquire awaits its response.
  kHolding,     ///< Lease held; the last request was granted.
  kDoubtful,    ///< Lease held; a renewal failed or timed out.
  kExpired,     ///< Lease just lost, by the own clock or by the store's response.
  kReleasing,   ///< A release awaits its response; no more steps begin.
  kBackingOff,  ///< Waiting before becoming a candidate again.
};
/// Returns the state's name in logs and reports.
const char* nameOf(LeaseState state);
/// Whether the state machine may change directly between these states.
bool canTransition(LeaseState from, LeaseState to);

}  // namespace inference_router::coordination
