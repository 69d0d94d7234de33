// Chooses the instance that decodes a request whose prompt was prefilled elsewhere.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "inference_router/types.h"
#include "routing/request_record.h"
#include "routing/selection_inputs.h"

namespace inference_router::routing {

/// The least loaded instance of the cell that the plan names; one of another cell only if that cell
/// has none with capacity.
class DecodeSelector {
 public:
  /// `seed` breaks ties between instances, differently at each node, so that the nodes do not all
  /// choose the same one.
  DecodeSelector(const SelectionInputs& inputs, std::string seed)
      : inputs_(inputs), seed_(std::move(seed)) {}

  /// Returns the instance, or null if none may be sent the request now. The request must have been
  /// sent to a prefill instance.
  Instance* choose(RequestRecord& request, Time now);

  /// Whether the decode instance that the request asked for a reservation can be used. One that
  /// drains is still used early in its grace period, as the KV cache may be there alone.
  bool reservationUsable(const RequestRecord& request, Time now) const;

 private:
  Instance* leastLoaded(RequestRecord& request, std::optional<CellIndex> cell, Time now);
  bool isLessLoaded(const Instance& instance, const Instance& other, Time now) const;

  SelectionInputs inputs_;
  std::string seed_;
};

}  // namespace inference_router::routing
