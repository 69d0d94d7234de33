#include "idle_clients.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace inference_router::soak {

namespace {

constexpr double kAgainMs = 300;

}  // namespace

IdleClients::IdleClients(Environment& environment, net::Endpoint to, int count)
    : environment_(environment), to_(std::move(to)) {
  for (int i = 0; i < count; ++i)
    connections_.push_back(std::make_shared<Connection>(environment.io));
}

void IdleClients::start() {
  for (const auto& connection : connections_)
    environment_.after(environment_.drawn(0, kAgainMs),
                       [this, connection] { connect(connection); });
}

void IdleClients::stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  for (const auto& connection : connections_)
    connection->socket.close(ignored);
}

void IdleClients::connect(const std::shared_ptr<Connection>& connection) {
  if (stopped_)
    return;
  connection->socket.async_connect(to_, [this, connection](const boost::system::error_code& error) {
    if (error)
      return connectAgain(connection);
    read(connection);
  });
}

void IdleClients::read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->received),
      [this, connection](const boost::system::error_code& error, std::size_t) {
        if (error)
          return connectAgain(connection);
        read(connection);
      });
}

void IdleClients::connectAgain(const std::shared_ptr<Connection>& connection) {
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  if (stopped_)
    return;
  environment_.after(kAgainMs, [this, connection] { connect(connection); });
}

}  // namespace inference_router::soak
