/// An address at which connections never come up: they are neither accepted nor refused, as at a
/// machine that is cut off.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "net/endpoint.h"

namespace inference_router::soak {

/// Fills the accept queue of the address, so that the kernel drops further connection requests.
/// What waits in the queue is reset at the end.
class UnansweredAddress {
 public:
  /// Throws boost::system::system_error if the address cannot be listened on.
  UnansweredAddress(boost::asio::io_context& io, const net::Endpoint& address);

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;
};

}  // namespace inference_router::soak
