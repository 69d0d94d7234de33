#include "net/endpoint.h"

#include <charconv>

namespace inference_router::net {

Endpoint parseEndpoint(const std::string& hostPort) {
  const std::size_t colon = hostPort.rfind(':');
  std::uint16_t port = 0;
  boost::system::error_code error;
  if (colon != std::string::npos) {
    const char* const last = hostPort.data() + hostPort.size();
    const auto [end, portError] = std::from_chars(hostPort.data() + colon + 1, last, port);
    const auto host = boost::asio::ip::make_address(hostPort.substr(0, colon), error);
    if (!error && portError == std::errc() && end == last)
      return {host, port};
  }
  throw AddressError(hostPort);
}

std::string textOf(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace inference_router::net
