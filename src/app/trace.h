/// Events and actions of the decision module, a line each, to be counted over a fleet afterwards.
#pragma once

#include <string>

#include "inference_router/router.h"

namespace inference_router::app {

/// Empty for events and actions that only keep time.
std::string traceLine(const routing::Event& event);
std::string traceLine(const routing::Action& action);

}  // namespace inference_router::app
