#include "net/listener.h"

#include <boost/asio/post.hpp>
#include <vector>

namespace dahliastall::net {

namespace {

constexpr double kAcceptPauseMs = 20;  // after accept failed, as when descriptors ran out

}  // namespace

Listener::Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   std::size_t cap, RequestHandler& handler, const core::Clock& clock,
                   core::Deadlines& deadlines, core::Counters& counters)
    : io_(io),
      acceptor_(io, address, /*reuse_addr=*/true),
      cap_(cap),
      handler_(handler),
      clock_(clock),
      deadlines_(deadlines),
      counters_(counters) {
  accept();
}

void Listener::accept() {
  if (accepting_ || doorClosed_) return;
  if (connections_.size() >= cap_) makeRoom();
  if (connections_.size() >= cap_) {  // closed() accepts again, and so does time, which makes more give way
    deadlines_.add(clock_.nowMs() + kAcceptPauseMs, [this] { accept(); });
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
    accepting_ = false;
    if (doorClosed_) return;
    if (error) {
      deadlines_.add(clock_.nowMs() + kAcceptPauseMs, [this] { accept(); });
      return;
    }
    ++counters_["clients.accepted"];
    const auto connection =
        std::make_shared<ClientConnection>(std::move(socket), handler_, *this, clock_, deadlines_);
    connections_.insert(connection);
    connection->start();
    accept();
  });
}

// At the cap a client without an open request makes room: first who never sent a whole one, then who has been
// idle longest. Closing between requests is allowed.
void Listener::makeRoom() {
  std::shared_ptr<ClientConnection> least;
  const auto before = [](const ClientConnection& a, const ClientConnection& b) {
    return a.room() != b.room() ? a.room() > b.room() : a.idleSinceMs() < b.idleSinceMs();
  };
  for (const auto& connection : connections_) {
    if (connection->room() == ClientConnection::Room::kNone) continue;
    if (!least || before(*connection, *least)) least = connection;
  }
  if (!least) return;
  ++counters_["clients.made_room"];
  least->giveWay();
}

void Listener::closed(const std::shared_ptr<ClientConnection>& connection) {
  connections_.erase(connection);
  finishIfDone();
  // Not from here: makeRoom() closes connections while accept() runs.
  boost::asio::post(io_, [this] { accept(); });
}

void Listener::drain(double doorOpenMs, std::function<void()> done) {
  if (draining_) return;
  done_ = std::move(done);
  draining_ = true;
  deadlines_.add(clock_.nowMs() + doorOpenMs, [this] { closeDoor(); });
}

void Listener::closeDoor() {
  doorClosed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->closeIdle();
  finishIfDone();
}

void Listener::finishIfDone() {
  if (!doorClosed_ || !connections_.empty() || !done_) return;
  boost::asio::post(io_, std::exchange(done_, nullptr));
}

}  // namespace dahliastall::net
