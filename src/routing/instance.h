// One instance of the endpoint list, with what this node knows of it.
#pragma once

#include <map>
#include <optional>

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/ejection_state.h"
#include "routing/slow_start_budget.h"

namespace inference_router::routing {

/// One instance. Owned by InstanceRegistry; request records refer to it by pointer. All counts are
/// of this node's own requests.
struct Instance {
  EndpointRecord endpoint;            ///< last record of the endpoint list
  Role role = Role::kPrefill;         ///< by its kind
  std::optional<Time> drainingSince;  ///< when the list said that it drains or is removed

  double prefillTokens = 0;  ///< prompt tokens of attempts that are out to be prefilled here

  // Written by DecodeCapacity.
  int streams = 0;            ///< requests that decode here or have reserved capacity
  double reservedTokens = 0;  ///< tokens that these are expected to hold in memory
  Time fullUntil{};           ///< a reservation was rejected; no capacity is expected before

  // Written by InstanceAvailability.
  int unansweredAttempts = 0;  ///< attempts that have shown no sign yet
  Time silentSince{};          ///< last sign of life while attempts were out

  // Written by ServiceEstimates.
  Duration queueingDelay{};  ///< before a prefill begins, as observed last
  Time queueingDelayAt{};    ///< when it was observed

  EjectionState ejection;
  SlowStartBudget slowStart;

  /// Whether the endpoint list has it as active.
  bool isListed() const { return !drainingSince; }
};

/// All instances by their ids. Iteration order is part of the decisions: ties go to the first.
using InstanceMap = std::map<InstanceId, Instance>;

/// Share of its capacity that the instance has by its age, up to 1 when it is warm.
inline double warmFraction(const Settings& settings, const Instance& instance, Time now) {
  return warmFraction(settings.contract, instance.endpoint.started, now);
}

/// Tokens that the memory of the instance holds.
inline double memoryTokens(const Settings& settings, const Instance& instance) {
  return settings.kinds[instance.endpoint.kind.value].memoryTokens;
}

}  // namespace inference_router::routing
