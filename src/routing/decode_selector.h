// Selects the instance that decodes a request whose prompt was prefilled at another instance.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "inference_router/types.h"
#include "routing/request_record.h"
#include "routing/selection_inputs.h"

namespace inference_router::routing {

/// Selects the least loaded instance of the cell given by CellPlan::decodeCell(); an instance of
/// another cell only if that cell has none with free capacity.
class DecodeSelector {
 public:
  /// `seed` determines how ties between instances are broken. It differs between nodes, so that
  /// they do not all select the same instance.
  DecodeSelector(const SelectionInputs& inputs, std::string seed)
      : inputs_(inputs), seed_(std::move(seed)) {}

  /// Returns the instance, or null if no instance is eligible now. The request must have a prefill
  /// instance.
  Instance* choose(RequestRecord& request, Time now);

  /// Whether the instance at which the request has requested a reservation can be used. A draining
  /// one is still used early in the grace period: it may hold the only copy of the KV cache.
  bool reservationUsable(const RequestRecord& request, Time now) const;

 private:
  Instance* leastLoaded(RequestRecord& request, std::optional<CellIndex> cell, Time now);
  bool isLessLoaded(const Instance& instance, const Instance& other, Time now) const;

  SelectionInputs inputs_;
  std::string seed_;
};

}  // namespace inference_router::routing
