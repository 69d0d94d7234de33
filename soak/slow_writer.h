/// Clients of the soak that write their requests in two parts.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "environment.h"
#include "net/endpoint.h"

namespace inference_router::soak {

/// A client of one router that sends one request after the other, each on a connection of its own:
/// a part at once and the rest later. Must live until the event loop has ended.
class SlowWriter {
 public:
  SlowWriter(Environment& environment,
             int router,
             int number,
             net::Endpoint to,
             double maxDeadlineMs);
  void start();
  /// Sends no further request.
  void stop() { stopped_ = true; }
  bool busy() const { return socket_ != nullptr; }
  /// Their router's process that began to serve at this time is killed: what it may have taken
  /// cannot be judged any more, be it a new connection or a stream that was handed to it.
  void markUndecidedSince(double servingSinceMs);

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void connect();
  void writeFirstPart();
  void writeRest();
  void read();
  void over();

  Environment& environment_;
  int router_, number_, sent_ = 0;
  net::Endpoint to_;
  double maxDeadlineMs_;
  bool stopped_ = false, written_ = false;
  double connectedMs_ = 0;
  std::shared_ptr<Socket> socket_;
  std::string id_, rest_, answer_;
  std::array<char, 4096> buffer_{};
};

}  // namespace inference_router::soak
