/// A client of the admin endpoint of a running router, for sub-commands of the program.
#pragma once

#include <string>

#include "net/endpoint.h"

namespace inference_router::app {

/// Sends one line and returns the whole answer. Blocks; throws std::runtime_error if the endpoint
/// cannot be reached or does not answer within the timeout.
std::string callAdmin(const net::Endpoint& endpoint,
                      const std::string& line,
                      double timeoutMs = 10'000);

}  // namespace inference_router::app
