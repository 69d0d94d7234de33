// One call at the operators' door of a conductor that runs, for the sub-commands that stand on it.
#pragma once

#include <string>

#include "net/endpoint.h"

namespace dahliastall::app {

// The whole answer. Blocks; throws std::runtime_error if there is none within the time.
std::string callAdmin(const net::Endpoint& endpoint, const std::string& line, double withinMs = 10'000);

}  // namespace dahliastall::app
