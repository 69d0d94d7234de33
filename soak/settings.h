/// The deployment that the soak plays.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "net/endpoint.h"

namespace inference_router::soak {

inline constexpr double kDrainGraceMs = 1'000;

using net::textOf;

/// maxDeadlineMs: of the classes; routers: that share the instances.
nlohmann::json settings(double maxDeadlineMs, int routers);

}  // namespace inference_router::soak
