// What an operator's file says under `shared`: token budgets, and how the fleet keeps what it knows
// together. It needs `coordination`, whose store carries it. Without it a router shares none of
// this.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/config_reader.h"
#include "shared/config.h"

namespace inference_router::shared {

struct SharedSetup {
  SharedConfig config;
  bool hearsay = true;  // whether instances are left out by what others saw
};

// Throws std::invalid_argument with the path of what is wrong. tenants: that the settings name.
SharedSetup sharedOf(const core::ConfigReader& given, const std::vector<std::string>& tenants);

}  // namespace inference_router::shared
