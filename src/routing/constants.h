// Constants shared by several parts of the decision module.
#pragma once

#include <chrono>

#include "inference_router/types.h"

namespace inference_router::routing {

/// Time constant of the decaying sums over this node's own traffic: arrivals by affinity key,
/// dispatches by role and prompt tokens sent to decode instances. Long enough for a node that gets
/// few requests to measure the distribution of its traffic.
constexpr Duration kTrafficTimeConstant = std::chrono::seconds{20};

/// Lower bound for weights and capacities that are used as divisors.
constexpr double kMinDivisor = 1e-9;

/// Interval at which the router processes queued requests and attempts in flight. Short compared
/// with any latency objective.
constexpr Duration kQueueInterval = std::chrono::milliseconds{10};

}  // namespace inference_router::routing
