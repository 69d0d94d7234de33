/// An address and port, and parsing of its textual form.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <string>

namespace inference_router::net {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Thrown for a text that is not a numeric host and port.
class AddressError : public std::invalid_argument {
 public:
  explicit AddressError(const std::string& hostPort)
      : std::invalid_argument("'" + hostPort + "' is not an address like 127.0.0.1:8000") {}
};

/// Parses "host:port" with a numeric host; throws AddressError.
Endpoint parseEndpoint(const std::string& hostPort);

/// "host:port", as in a Host header.
std::string textOf(const Endpoint& endpoint);

}  // namespace inference_router::net
