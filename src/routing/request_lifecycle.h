// The way of one request through its phases.
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

/// Moves a request from phase to phase: prefill, decode, retry, final answer. Every final answer
/// that this module decides passes finish(). Owns no state; changes the record it is given.
class RequestLifecycle {
 public:
  /// The units that it asks and directs; all must outlive it.
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

  /// Rejects a request that has just arrived and can never be answered.
  void checkAdmission(RequestRecord& request, EventContext& context);

  /// Looks at a request in phase kWaiting or kPrefilled again: sends its next attempt if an
  /// instance can take it now, or ends it.
  void advance(RequestRecord& request, EventContext& context);

  /// Goes on after the end of an attempt at the instance.
  void applyOutcome(RequestRecord& request,
                    Instance& instance,
                    const AttemptEnded& ended,
                    EventContext& context);

  /// Gives the final answer, a rejection where a repeat is harmless and a failure otherwise, unless
  /// the request has had one. Nothing is left running or reserved for it.
  void finish(RequestRecord& request, EventContext& context);

  /// Ends a request that has its answer or that nobody waits for. Its record is kept while an
  /// attempt is out, which may yet leave a KV cache behind.
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
