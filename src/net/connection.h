/// One TCP connection to an instance or another HTTP server, as the pool keeps it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>

#include "core/timer_queue.h"
#include "net/endpoint.h"

namespace inference_router::net {

/// Owned by the pool while idle, and by the call that it carries otherwise.
struct Connection {
  explicit Connection(boost::asio::io_context& io) : socket(io) {}

  /// Whether it can carry another request: nothing has come on it, not its end either, and what is
  /// written on it goes out at once.
  bool isReusable();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;  ///< bytes that have come and are not parsed yet
  Endpoint endpoint;                 ///< the default endpoint once the pool has closed it
  core::Timer idleTimer;             ///< armed while it is idle: closes it
  double idleSinceMs = 0;
  std::uint64_t number = 0;  ///< of the pool's connections, from one
  int calls = 0;             ///< that it has carried, the one in flight included
};

}  // namespace inference_router::net
