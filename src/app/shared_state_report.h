/// What operators see of the state that routers share.
#pragma once

#include <map>
#include <string>

#include "control/admin_api.h"
#include "shared/node.h"

namespace inference_router::app {

using Availabilities = std::map<std::string, shared::Availability>;  // by instance id

/// Lines, or one line of JSON.
std::string sharedStateReport(shared::SharedNode& node,
                              const shared::SharedConfig& config,
                              const Availabilities& availabilities,
                              double nowMs,
                              control::ReportFormat format);

}  // namespace inference_router::app
