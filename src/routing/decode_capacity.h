// Estimates how much of the decode instances' memory is in use.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/instance_availability.h"
#include "routing/instance_registry.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Share of memory in use above which a decode instance is considered full.
constexpr double kFullMemoryShare = 0.95;

/// Counts this node's requests that decode, or are going to decode, at each instance, and
/// extrapolates to the other nodes, with which no state is shared.
class DecodeCapacity {
 public:
  /// All must outlive the object.
  DecodeCapacity(const Settings& settings,
                 const InstanceRegistry& registry,
                 const CellPlan& cells,
                 const InstanceAvailability& availability)
      : settings_(settings), registry_(registry), cells_(cells), availability_(availability) {}

  /// Reserves capacity for the request at the instance. Frees a previous reservation at another
  /// one.
  void reserve(RequestRecord& request, Instance& instance);

  /// Frees the capacity that is reserved for the request.
  void free(RequestRecord& request);

  /// Records that the instance rejected a reservation: it is considered full for a while.
  void recordRejection(Instance& instance, Time now) const;

  /// This node's streams at the instance, relative to its weight. For an instance in slow start the
  /// weight is reduced by its warm fraction.
  double load(const Instance& instance, Time now) const;

  /// Whether more than `memoryShare` of the instance's memory is expected to be in use, or it has
  /// recently rejected a reservation.
  bool isFull(const Instance& instance, Time now, double memoryShare = kFullMemoryShare) const;

  /// Whether there are usable instances that can decode and all of them are full.
  bool allFull(Time now) const;

 private:
  double expectedTokens(const Instance& instance) const;
  double fleetShare(const Instance& instance) const;

  const Settings& settings_;
  const InstanceRegistry& registry_;
  const CellPlan& cells_;
  const InstanceAvailability& availability_;
  double reservedTokens_ = 0;  ///< over all instances
  double streams_ = 0;         ///< over all instances
};

}  // namespace inference_router::routing
