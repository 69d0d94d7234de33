// The slow-start budget of one instance: what this process may send to it until it is warm.
//
// A started instance bears overloadFactor x warmFraction() x its capacity in each window of length
// overloadWindow. Processes share nothing, so each uses a part. One that would send it several
// requests a window counts: a token bucket refills with its part. Others draw: in each slot, a
// fraction of a window, a process may send one request with a probability that follows what the
// whole fleet would offer the instance. The sum is then right for any number of processes and any
// spread of traffic over them, also where some restart and forget.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// Share of its capacity that an instance has by its age; 1 if it is warm or has not started
/// lately.
double warmFraction(const Contract& contract, std::optional<Time> started, Time now);

/// A request that could go to an instance in slow start.
struct SlowStartOffer {
  /// Requests of this process that a warm instance of its weight gets in an overload window.
  double warmDispatchesPerWindow;
  /// Weight of the instances that the request is offered to, over that of the whole role.
  double offeredShare;
  /// Part of this instance in that weight: 1 if it is offered the request alone, 0 for no draw.
  double instanceShare;
  /// When it was first offered; a request that waits is drawn against powers of the probability.
  Time since;
};

/// Admits requests to one instance while it is in slow start. Kept with the instance.
class SlowStartBudget {
 public:
  /// The instance has started, or this process has just learnt of it. The seed differs between
  /// processes.
  void reset(std::uint64_t seed, int processes, Time now);
  /// Whether the request may be sent now to the instance, which started then and is not warm.
  bool admits(const Settings& settings,
              std::optional<Time> started,
              const SlowStartOffer& offer,
              Time now);
  /// A request, or a reservation for it, has been sent; the later send to a reservation is not
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
