// What the module is told and what it decides, a line each, for counting over a fleet afterwards.
#pragma once

#include <string>

#include "leverrelay/router.h"

namespace dahliastall::app {

// Nothing for what only keeps time.
std::string traceLine(const leverrelay::Event& event);
std::string traceLine(const leverrelay::Action& action);

}  // namespace dahliastall::app
