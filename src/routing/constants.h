// Constants that several units of the decision module share.
#pragma once

#include <chrono>

#include "inference_router/types.h"

namespace inference_router::routing {

/// Time constant, in seconds, of the sums over this node's own traffic: arrivals by affinity key,
/// dispatches by role and prompt tokens sent to decode instances. Long enough for a node that sees
/// few requests to know where its traffic goes.
constexpr Duration kTrafficTimeConstant = std::chrono::seconds{20};

/// Lower bound of weights and capacities that something is divided by.
constexpr double kMinDivisor = 1e-9;

/// Interval, in milliseconds, at which the router looks at queued requests and at attempts that are
/// out. Short compared with any latency objective.
constexpr Duration kQueueInterval = std::chrono::milliseconds{10};

}  // namespace inference_router::routing
