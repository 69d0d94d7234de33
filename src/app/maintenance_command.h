/// The arguments of the admin endpoint's `maintenance` command.
#pragma once

#include "control/admin_api.h"
#include "coordination/plan_commands.h"

namespace inference_router::app {

/// Parses `start ID BOX[,BOX...] [hold=S] [confirm] [by=WHO] [rev=N]` and the like; there is at
/// least one argument. Throws std::invalid_argument with a text for the operator.
coordination::PlanCommand parseMaintenanceCommand(const control::Arguments& arguments);

}  // namespace inference_router::app
