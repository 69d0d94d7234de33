// Components that the selection of instances depends on.
#pragma once

#include "inference_router/settings.h"
#include "routing/cell_plan.h"
#include "routing/decode_capacity.h"
#include "routing/instance_availability.h"
#include "routing/instance_registry.h"
#include "routing/key_popularity.h"
#include "routing/service_estimates.h"
#include "routing/slow_start.h"

namespace inference_router::routing {

/// References to the components that the selectors read; all must outlive the selectors. Two are
/// not const: a selector returns mutable instances of the registry, and SlowStart::admits() updates
/// the budget of the instance that is offered.
struct SelectionInputs {
  const Settings& settings;
  InstanceRegistry& registry;
  const CellPlan& cells;
  const KeyPopularity& popularity;
  const ServiceEstimates& estimates;
  const InstanceAvailability& availability;
  const DecodeCapacity& capacity;
  SlowStart& slowStart;
};

}  // namespace inference_router::routing
