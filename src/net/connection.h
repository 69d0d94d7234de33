/// One TCP connection of a pool to an instance or another HTTP server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/timer_queue.h"
#include "net/endpoint.h"

namespace inference_router::net {

/// Owned by the pool while idle, otherwise by the call that uses it.
struct Connection {
  explicit Connection(boost::asio::io_context& io) : socket(io) {}

  /// Whether the connection can take another request: no byte and no end of stream has been
  /// received, and everything written has been sent.
  bool isReusable();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;  ///< received bytes that are not parsed yet
  Endpoint endpoint;                 ///< the default endpoint once the pool has closed it
  std::optional<std::size_t> receiveBufferBytes;  ///< requested before the connection is made
  core::Timer idleTimer;                          ///< closes the connection; armed while it is idle
  double idleSinceMs = 0;
  std::uint64_t number = 0;  ///< serial number within the pool, from 1
  int calls = 0;             ///< calls on this connection, including the one in flight
};

}  // namespace inference_router::net
