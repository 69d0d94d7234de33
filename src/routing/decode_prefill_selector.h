// Selects decode instances with spare time to prefill prompts themselves.
#pragma once

#include "inference_router/types.h"
#include "routing/decaying_sum.h"
#include "routing/request_record.h"
#include "routing/selection_inputs.h"

namespace inference_router::routing {

/// Prefill instances may be overloaded or fail while decode instances have spare time. A decode
/// instance can prefill a prompt between its decode steps, but more slowly.
class DecodePrefillSelector {
 public:
  explicit DecodePrefillSelector(const SelectionInputs& inputs) : inputs_(inputs) {}

  /// Whether the prefill instance is expected to take so much of the time to the objective that a
  /// decode instance should be considered. `prefillInstance` is null if none is available.
  bool isPreferable(const RequestRecord& request, const Instance* prefillInstance, Time now) const;

  /// Returns a decode instance that can prefill and decode the request, or null if none can do so
  /// in time or their spare time is used up.
  Instance* choose(const RequestRecord& request, Time now) const;

  /// Records that the request was sent to a decode instance for its prefill.
  void countDispatch(const RequestRecord& request, Time now);

 private:
  Instance* leastPrefilling(const RequestRecord& request, Time now) const;
  bool hasSpareTime(Time now) const;

  SelectionInputs inputs_;
  DecayingSum prefillTokens_;  ///< prompt tokens that this node sent to decode instances
};

}  // namespace inference_router::routing
