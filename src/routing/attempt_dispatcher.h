// The actions on the remote side of a request: attempts, reservations, releases, cancellations.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/decode_capacity.h"
#include "routing/decode_selector.h"
#include "routing/event_context.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"
#include "routing/slow_start.h"

namespace inference_router::routing {

/// Every attempt passes dispatch(), so the conditions that each has to meet are checked in one
/// place. Owns no state; changes the records of requests and instances.
class AttemptDispatcher {
 public:
  /// All must outlive the dispatcher.
  AttemptDispatcher(const Settings& settings,
                    const ServiceEstimates& estimates,
                    DecodeSelector& decodeSelector,
                    DecodeCapacity& capacity,
                    SlowStart& slowStart)
      : settings_(settings),
        estimates_(estimates),
        decodeSelector_(decodeSelector),
        capacity_(capacity),
        slowStart_(slowStart) {}

  /// Sends an attempt to the instance and moves the request to the phase `next`, if the request is
  /// still open, has no attempt out and attempts left, the instance is listed or has its
  /// reservation, and the effect of its class allows it. Returns whether it was sent. Capacity of
  /// an instance that decodes is reserved in either case.
  bool dispatch(RequestRecord& request, Instance& instance, Phase next, EventContext& context);

  /// Asks a decode instance for a reservation, where the site allows it and one can be chosen.
  void reserveDecode(RequestRecord& request, EventContext& context);

  /// The instance has rejected the reservation: asks another while the request is prefilled.
  void handleRejectedReservation(RequestRecord& request, EventContext& context);

  /// Has KV caches and reservations of the request released wherever they may be held.
  void releaseState(RequestRecord& request, EventContext& context);

  /// Counts the request no longer at the decode instance that it was meant for.
  void freeCapacity(RequestRecord& request) { capacity_.free(request); }

  /// Cancels the attempt that is out, if there is one and the site allows it.
  void cancelAttempt(const RequestRecord& request, EventContext& context) const;

 private:
  bool mayDispatch(const RequestRecord& request, const Instance& instance, Time now) const;

  const Settings& settings_;
  const ServiceEstimates& estimates_;
  DecodeSelector& decodeSelector_;
  DecodeCapacity& capacity_;
  SlowStart& slowStart_;
};

}  // namespace inference_router::routing
