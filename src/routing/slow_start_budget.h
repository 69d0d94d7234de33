// Slow-start budget of one instance: limits what this process sends to it until it is warm.
//
// A started instance can take overloadFactor x warmFraction() x its capacity in each window of
// length overloadWindow. Processes share no state, so each uses a part of that budget. A process
// that would send several requests per window counts them with a token bucket, which is refilled at
// the rate of its part. The others draw: in each slot, a fraction of a window, a process may send
// one request, with a probability derived from what the whole fleet would offer the instance. The
// expected total is then correct for any number of processes and any distribution of traffic over
// them, even if some restart and lose their counts.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// Share of its capacity that an instance has at its age; 1 if it is warm or its start is unknown.
double warmFraction(const Contract& contract, std::optional<Time> started, Time now);

/// Offer of a request to an instance in slow start.
struct SlowStartOffer {
  /// Requests that this process would send, per overload window, to a warm instance of that weight.
  double warmDispatchesPerWindow;
  /// Weight of the instances that the request is offered to, divided by that of the whole role.
  double offeredShare;
  /// Share of this instance in the offered weight: 1 if it is the only one, 0 for no draw.
  double instanceShare;
  /// When the request was first offered. The probability of a draw is raised to the power of the
  /// number of slots since then, so that waiting does not help the request to be admitted.
  Time since;
};

/// Admits requests to one instance while it is in slow start. Stored in the instance.
class SlowStartBudget {
 public:
  /// Resets the budget when the instance has started or is new to this process. `seed` must differ
  /// between processes.
  void reset(std::uint64_t seed, int processes, Time now);
  /// Whether the request may be sent now to the instance, which started at `started` and is not
  /// warm.
  bool admits(const Settings& settings,
              std::optional<Time> started,
              const SlowStartOffer& offer,
              Time now);
  /// Counts a request, or a reservation for it, that was sent. The dispatch to a reservation is not
  /// counted again.
  void countDispatch(const Contract& contract, Time now);

 private:
  std::int64_t slotOf(const Contract& contract, Time time) const;

  std::uint64_t seed_ = 0;
  double tokens_ = 0;
  Time refilledAt_{};
  std::int64_t lastUsedSlot_ = -1;
};

}  // namespace inference_router::routing
