// Chooses the instance that prefills a request.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "inference_router/types.h"
#include "routing/request_record.h"
#include "routing/selection_inputs.h"

namespace inference_router::routing {

/// Weighted rendezvous hashing of the affinity key with bounded load: a key keeps to the first
/// instance in its order, whose cache holds its prefix, unless prefills queue there for too long.
class PrefillSelector {
 public:
  explicit PrefillSelector(const SelectionInputs& inputs) : inputs_(inputs) {}

  /// Returns the instance, or null if none may be sent the request now. Notes in the record which
  /// instance is first in its order.
  Instance* choose(RequestRecord& request, Time now);

 private:
  std::vector<Instance*> preferenceOrder(const RequestRecord& request, Time now) const;
  void rankByRendezvousHash(std::vector<Instance*>& instances,
                            std::size_t count,
                            const std::string& key) const;
  bool mayPrefill(const RequestRecord& request, const Instance& instance, Time now) const;

  SelectionInputs inputs_;
};

}  // namespace inference_router::routing
