// Slow-start budget of one instance: limits what this process sends to it until it is warm.
//
// A started instance can take overloadFactor x its present share x its capacity in each window of
// length overloadWindow. Processes share no state, so each has a part of that budget. Time is
// divided into slots, which begin at other times in each process. In each slot the process may send
// its part of the budget, rounded up or down by a draw whose mean is that part; what it does not
// use lapses. So the sum over all processes is bounded in each window, whatever is offered to them,
// and a process that has restarted and lost its count cannot have more than one that goes on.
// Processes that rarely have a request in a slot would leave most of it unused, so their parts are
// larger, up to a limit that holds if all of them have one at once.
#pragma once

#include <cstdint>
#include <optional>

#include "inference_router/settings.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// Estimated share of its capacity that an instance has at its age; 1 if it is warm or its start is
/// unknown. How the share grows is not disclosed: an estimate, not a limit.
double warmFraction(const Contract& contract, std::optional<Time> started, Time now);

/// Load by which an instance is limited at its age, as a multiple of its capacity: while a window
/// may have begun before it was warm, what it can take at its initial share, and at most its
/// capacity; afterwards more and more. Nothing if there is no limit.
std::optional<double> loadLimit(const Contract& contract, std::optional<Time> started, Time now);

/// How long before its arrival at the instance an attempt may be counted: it waits for a
/// connection, or for the prefill during which its place was reserved.
Duration maxTransitTime(const Contract& contract);

/// What one process may use of the budget of an instance, and for what.
struct SlowStartPart {
  double allowedPerWindow;   ///< its part of what the instance can take per overload window
  double requestsPerWindow;  ///< requests that the process gets per overload window
};

/// Admits requests to one instance while it is in slow start. Stored in the instance.
class SlowStartBudget {
 public:
  /// Resets the budget when the instance has started or is new to this process. `seed` must differ
  /// between processes. `mayHaveSent`: an earlier process of this node may have used the current
  /// slot, so nothing is admitted before the next one.
  void reset(std::uint64_t seed,
             int processes,
             bool mayHaveSent,
             const Contract& contract,
             Time now);
  /// Whether nothing is admitted yet, as an earlier process may have used the slot.
  bool isPending(const Contract& contract, Time now) const;
  /// Whether a request may be sent now.
  bool admits(const Contract& contract, const SlowStartPart& part, Time now);
  /// Counts a request, or a reservation for it, that was sent. The dispatch to a reservation is not
  /// counted again.
  void countDispatch(const Contract& contract, Time now);

 private:
  std::int64_t slotOf(const Contract& contract, Time time) const;
  void enterSlot(const Contract& contract, Time now);

  std::uint64_t seed_ = 0;
  int slotsPerWindow_ = 1;
  std::int64_t firstSlot_ = 0;
  std::int64_t slot_ = 0;
  int sentInSlot_ = 0;
  std::optional<Time> lastSentAt_;
};

}  // namespace inference_router::routing
