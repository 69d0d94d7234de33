// Latency objectives of request classes.
#pragma once

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// The shortest latency objective of the classes whose priority weight is at least
/// `minPriorityWeight`; Duration::max() if there is no such class.
Duration shortestObjective(const Settings& settings, double minPriorityWeight = 0);

/// When the first token of a request that arrives at `now` is due. A resumed request already had
/// its first token, so its objective is its deadline.
Time objectiveFor(const Arrival& arrival, const ClassSettings& cls, Time now);

}  // namespace inference_router::routing
