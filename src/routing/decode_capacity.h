// The memory and streams of decode instances, as far as this node can know them.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/instance_availability.h"
#include "routing/instance_registry.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Share of a decode instance's memory that counts as full.
constexpr double kFullMemoryShare = 0.95;

/// Counts the requests of this node that decode at each instance, or will, and extrapolates from
/// them to the other nodes, which share nothing.
class DecodeCapacity {
 public:
  /// All must outlive the object.
  DecodeCapacity(const Settings& settings,
                 const InstanceRegistry& registry,
                 const CellPlan& cells,
                 const InstanceAvailability& availability)
      : settings_(settings), registry_(registry), cells_(cells), availability_(availability) {}

  /// Counts the request at the instance, and no longer at another.
  void reserve(RequestRecord& request, Instance& instance);

  /// Counts the request at no instance.
  void free(RequestRecord& request);

  /// The instance has rejected a reservation: it counts as full for a while.
  void recordRejection(Instance& instance, Time now) const;

  /// Streams of this node there for its weight, while it is in slow start for what it can bear.
  double load(const Instance& instance, Time now) const;

  /// Whether more than that share of its memory is expected to be taken, or it has just rejected a
  /// reservation.
  bool isFull(const Instance& instance, Time now, double memoryShare = kFullMemoryShare) const;

  /// Whether there are usable instances that decode and all of them are full.
  bool allFull(Time now) const;

 private:
  double expectedTokens(const Instance& instance) const;
  double fleetShare(const Instance& instance) const;

  const Settings& settings_;
  const InstanceRegistry& registry_;
  const CellPlan& cells_;
  const InstanceAvailability& availability_;
  double reservedTokens_ = 0;  ///< of all instances
  double streams_ = 0;         ///< of all instances
};

}  // namespace inference_router::routing
