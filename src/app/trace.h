// What the module is told and what it decides, a line each, for counting over a fleet afterwards.
#pragma once

#include <string>

#include "inference_router/router.h"

namespace inference_router::app {

// Nothing for what only keeps time.
std::string traceLine(const routing::Event& event);
std::string traceLine(const routing::Action& action);

}  // namespace inference_router::app
