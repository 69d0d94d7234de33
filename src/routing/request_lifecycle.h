// State transitions of a request.
#pragma once

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/attempt_dispatcher.h"
#include "routing/decode_prefill_selector.h"
#include "routing/decode_selector.h"
#include "routing/event_context.h"
#include "routing/load_shedder.h"
#include "routing/prefill_selector.h"
#include "routing/request_record.h"
#include "routing/retry_policy.h"

namespace inference_router::routing {

/// Moves a request from phase to phase: prefill, decode, retry, final answer. All final answers of
/// this module are emitted by finish(). Stateless; updates the record that is passed in.
class RequestLifecycle {
 public:
  /// Components that the lifecycle uses; all must outlive it.
  struct Components {
    const Settings& settings;
    const DecodeCapacity& capacity;
    const LoadShedder& shedder;
    PrefillSelector& prefillSelector;
    DecodeSelector& decodeSelector;
    DecodePrefillSelector& decodePrefillSelector;
    RetryBudget& retryBudget;
    AttemptDispatcher& dispatcher;
  };

  explicit RequestLifecycle(const Components& components) : components_(components) {}

  /// Rejects a new request that cannot be served: its prompt fits into no memory, or its deadline
  /// is too close.
  void checkAdmission(RequestRecord& request, EventContext& context);

  /// Processes a queued request (phase kWaiting or kPrefilled): sends its next attempt if an
  /// instance is eligible, or ends the request.
  void advance(RequestRecord& request, EventContext& context);

  /// Continues the request after an attempt at the instance ended.
  void applyOutcome(RequestRecord& request,
                    Instance& instance,
                    const AttemptEnded& ended,
                    EventContext& context);

  /// Emits the final answer, a rejection if a repeat is harmless and a failure otherwise, unless
  /// the request already has one. Cancels its attempt and releases its remote state.
  void finish(RequestRecord& request, EventContext& context);

  /// Ends a request that has its final answer or was abandoned. Its record is kept while an attempt
  /// is in flight, since that attempt may still leave a KV cache behind.
  void close(RequestRecord& request, EventContext& context);

 private:
  void startPrefill(RequestRecord& request, EventContext& context);
  bool prefillAtDecodeInstance(RequestRecord& request, EventContext& context);
  void startDecode(RequestRecord& request, EventContext& context);
  void retry(RequestRecord& request,
             const Instance& failed,
             bool kvCacheUsable,
             EventContext& context);
  bool kvCacheUsable(const RequestRecord& request,
                     const Instance& instance,
                     const AttemptEnded& ended,
                     Time now) const;

  Components components_;
};

}  // namespace inference_router::routing
