// An address and port, and the text that stands for one in configurations.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace inference_router::net {

using Endpoint = boost::asio::ip::tcp::endpoint;

// "host:port" with a numeric host; throws std::invalid_argument.
Endpoint endpointOf(const std::string& hostPort);

}  // namespace inference_router::net
