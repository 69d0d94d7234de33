/// The deployment that the soak plays.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "net/endpoint.h"
#include "plan.h"
#include "slow_start_monitor.h"

namespace inference_router::soak {

inline constexpr double kDrainGraceMs = 1'000;

using net::textOf;

nlohmann::json settings(const Plan& plan);

/// What they tell of instances in slow start.
SlowStartRule slowStartRuleOf(const Plan& plan);

}  // namespace inference_router::soak
