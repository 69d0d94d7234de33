// Lets decode instances with spare time prefill prompts themselves.
#pragma once

#include "inference_router/types.h"
#include "routing/decaying_sum.h"
#include "routing/request_record.h"
#include "routing/selection_inputs.h"

namespace inference_router::routing {

/// Prefill instances may be too few, or fail, while decode instances have time to spare. These can
/// prefill a prompt between their decode steps, more slowly.
class DecodePrefillSelector {
 public:
  explicit DecodePrefillSelector(const SelectionInputs& inputs) : inputs_(inputs) {}

  /// Whether a prefill instance takes so much of the time to the objective that a decode instance
  /// is worth trying. Null stands for no prefill instance.
  bool isPreferable(const RequestRecord& request, const Instance* prefillInstance, Time now) const;

  /// Returns a decode instance that can prefill and decode the request, or null if none can in time
  /// or their spare time is used up.
  Instance* choose(const RequestRecord& request, Time now) const;

  /// Counts a request that was sent to a decode instance to prefill its prompt.
  void countDispatch(const RequestRecord& request, Time now);

 private:
  Instance* leastPrefilling(const RequestRecord& request, Time now) const;
  bool hasSpareTime(Time now) const;

  SelectionInputs inputs_;
  DecayingSum prefillTokens_;  ///< that this node sent to decode instances
};

}  // namespace inference_router::routing
