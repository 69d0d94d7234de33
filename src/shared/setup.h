/// The `shared` section of the operator's file: token budgets and the exchange of health
/// observations. It needs the `coordination` section, whose store it uses. Without it a router
/// shares neither.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/config_reader.h"
#include "shared/config.h"

namespace inference_router::shared {

struct SharedSetup {
  SharedConfig config;
  bool peerExclusions = true;  ///< whether instances are excluded by what other routers observed
};

/// Throws std::invalid_argument with the path of what is wrong. tenants: that the settings name.
SharedSetup sharedSetupOf(const core::ConfigReader& section,
                          const std::vector<std::string>& tenants);

}  // namespace inference_router::shared
