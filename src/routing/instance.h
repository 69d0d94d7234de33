// An instance of the endpoint list and the state that this node keeps for it.
#pragma once

#include <map>
#include <optional>

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/ejection_state.h"
#include "routing/slow_start_budget.h"
#include "routing/slow_start_record.h"

namespace inference_router::routing {

/// One instance. Owned by InstanceRegistry; request records refer to it by pointer. All counts
/// cover this node's own requests only.
struct Instance {
  EndpointRecord endpoint;            ///< latest entry in the endpoint list
  Role role = Role::kPrefill;         ///< role of its kind
  std::optional<Time> drainingSince;  ///< when the list first marked it as draining or removed

  double prefillTokens = 0;  ///< prompt tokens to be prefilled here by attempts in flight

  // Updated by DecodeCapacity.
  int streams = 0;            ///< requests that decode here or have capacity reserved
  double reservedTokens = 0;  ///< memory, in tokens, that these are expected to use
  Time fullUntil{};           ///< considered full until then: it rejected a reservation

  // Updated by InstanceAvailability.
  int unansweredAttempts = 0;  ///< attempts without a token or outcome yet
  Time silentSince{};          ///< last response, or the dispatch of the first unanswered attempt

  // Updated by ServiceEstimates.
  Duration queueingDelay{};  ///< last observed delay before a prefill begins
  Time queueingDelayAt{};    ///< when it was observed

  // Updated by SlowStart.
  int connectFailures = 0;              ///< in a row, with little time between them
  std::optional<Time> unreachableAt{};  ///< end of the last attempt that could not connect

  EjectionState ejection;
  SlowStartBudget slowStart;
  SlowStartRecord slowStartRecord;

  /// Whether the endpoint list contains it as active.
  bool isListed() const { return !drainingSince; }
};

/// All instances by id. The iteration order affects decisions: the first instance wins a tie.
using InstanceMap = std::map<InstanceId, Instance>;

/// Share of its capacity that the instance has at its current age; 1 when it is warm.
inline double warmFraction(const Settings& settings, const Instance& instance, Time now) {
  return warmFraction(settings.contract, instance.endpoint.started, now);
}

/// Number of tokens that fit into the instance's memory.
inline double memoryTokens(const Settings& settings, const Instance& instance) {
  return settings.kinds[instance.endpoint.kind.value].memoryTokens;
}

}  // namespace inference_router::routing
