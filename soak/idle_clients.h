/// A crowd of clients that connect to one router, send nothing and connect again once they are
/// sent away.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "environment.h"
#include "net/endpoint.h"

namespace inference_router::soak {

class IdleClients {
 public:
  IdleClients(Environment& environment, net::Endpoint to, int count);
  void start();
  void stop();

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 512> received{};
  };

  void connect(const std::shared_ptr<Connection>& connection);
  void read(const std::shared_ptr<Connection>& connection);
  void connectAgain(const std::shared_ptr<Connection>& connection);

  Environment& environment_;
  net::Endpoint to_;
  std::vector<std::shared_ptr<Connection>> connections_;
  bool stopped_ = false;
};

}  // namespace inference_router::soak
