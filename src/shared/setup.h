/// The `shared` section of the operator's file: token budgets and the exchange of health
/// observations. It requires the `coordination` section, whose store it uses. A router without this
/// section shares neither.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/config_reader.h"
#include "shared/config.h"

namespace inference_router::shared {

/// The section's settings.
struct SharedSetup {
  SharedConfig config;
  bool peerExclusions = true;  ///< whether observations of other routers exclude instances
};

/// Reads the section. Throws std::invalid_argument with the path of the invalid setting. tenants:
/// all tenants in the routing settings.
SharedSetup sharedSetupOf(const core::ConfigReader& section,
                          const std::vector<std::string>& tenants);

}  // namespace inference_router::shared
