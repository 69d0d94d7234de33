// Selects the instance that prefills a request.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "inference_router/types.h"
#include "routing/request_record.h"
#include "routing/selection_inputs.h"

namespace inference_router::routing {

/// Weighted rendezvous hashing of the affinity key with bounded load: a key stays at the first
/// instance in its preference order, which has its prefix cached, unless the queueing delay there
/// is too long.
class PrefillSelector {
 public:
  explicit PrefillSelector(const SelectionInputs& inputs) : inputs_(inputs) {}

  /// Returns the instance, or null if no instance is eligible now. Sets the request's affinity
  /// instance to the first in preference order.
  Instance* choose(RequestRecord& request, Time now);

 private:
  std::vector<Instance*> preferenceOrder(const RequestRecord& request, Time now) const;
  void rankByRendezvousHash(std::vector<Instance*>& instances,
                            std::size_t count,
                            const std::string& key) const;
  Instance* inSlowStart(const RequestRecord& request,
                        const std::vector<Instance*>& order,
                        Duration maxDelay,
                        Time now) const;
  bool mayPrefill(const RequestRecord& request, const Instance& instance, Time now) const;

  SelectionInputs inputs_;
};

}  // namespace inference_router::routing
