// Emits the actions of a request that concern instances: attempts, reservations, releases and
// cancellations.
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

/// All attempts are sent by dispatch(), so their preconditions are checked in one place. Stateless;
/// updates the records of requests and instances.
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

  /// Sends an attempt to the instance and moves the request to the phase `next`. Preconditions: the
  /// request has no first token or final answer yet, its deadline has not passed, no attempt is in
  /// flight, attempts are left, the instance is listed or holds a usable reservation, and the
  /// effect of the class allows the attempt. Returns whether it was sent. Capacity of an instance
  /// that decodes is reserved in either case.
  bool dispatch(RequestRecord& request, Instance& instance, Phase next, EventContext& context);

  /// Requests a reservation at a decode instance if the site allows it and one can be selected.
  void reserveDecode(RequestRecord& request, EventContext& context);

  /// Handles a rejected reservation: requests one at another instance during the prefill.
  void handleRejectedReservation(RequestRecord& request, EventContext& context);

  /// Releases the KV caches and reservations that any instance may hold for the request.
  void releaseState(RequestRecord& request, EventContext& context);

  /// Frees the decode capacity that is reserved for the request.
  void freeCapacity(RequestRecord& request) { capacity_.free(request); }

  /// Cancels the attempt in flight, if there is one and the site allows it.
  void cancelAttempt(const RequestRecord& request, EventContext& context) const;

 private:
  bool mayDispatch(const RequestRecord& request, Instance& instance, Time now) const;

  const Settings& settings_;
  const ServiceEstimates& estimates_;
  DecodeSelector& decodeSelector_;
  DecodeCapacity& capacity_;
  SlowStart& slowStart_;
};

}  // namespace inference_router::routing
