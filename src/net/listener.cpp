#include "net/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <vector>

namespace dahliastall::net {

namespace {

constexpr double kAcceptPauseMs = 20;  // after accept failed, as when descriptors ran out
// After an evacuation the front layer learns within 0.1 s that it is to stop and sends for 0.2 s more: idle
// connections are left until then, and looked at again as others fall idle.
constexpr double kFrontLearnsMs = 400, kSweepMs = 200;

}  // namespace

Listener::Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   std::size_t cap, RequestHandler& handler, const core::Clock& clock,
                   core::Deadlines& deadlines, core::Counters& counters, Options options)
    : io_(io),
      acceptor_(io),
      cap_(cap),
      handler_(handler),
      clock_(clock),
      deadlines_(deadlines),
      counters_(counters) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  if (options.sharedPort) {
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor_.set_option(ReusePort(true));
  }
  acceptor_.bind(address);
  if (options.open) open();
}

void Listener::open() {
  if (opened_ || doorClosed_) return;
  acceptor_.listen();
  opened_ = true;
  accept();
}

void Listener::accept() {
  if (accepting_ || !isOpen()) return;
  if (connections_.size() >= cap_) makeRoom();
  if (connections_.size() >= cap_) {  // closed() accepts again, and so does time, which makes more give way
    deadlines_.add(clock_.nowMs() + kAcceptPauseMs, [this] { accept(); });
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
    accepting_ = false;
    if (error) {
      if (!doorClosed_) deadlines_.add(clock_.nowMs() + kAcceptPauseMs, [this] { accept(); });
      return;
    }
    admit(std::move(socket));  // also if the door has closed since: its client was let in before
    accept();
  });
}

void Listener::admit(boost::asio::ip::tcp::socket socket) {
  ++counters_["clients.accepted"];
  const auto connection =
      std::make_shared<ClientConnection>(std::move(socket), handler_, *this, clock_, deadlines_);
  connections_.insert(connection);
  connection->start();
}

std::shared_ptr<ClientConnection> Listener::adopt(const ClientConnection::Rest& rest) {
  boost::asio::ip::tcp::socket socket(io_);
  boost::system::error_code error;
  socket.assign(address().protocol(), rest.descriptor, error);
  if (error) {
    ::close(rest.descriptor);
    return nullptr;
  }
  ++counters_["clients.adopted"];
  const auto connection =
      std::make_shared<ClientConnection>(std::move(socket), handler_, *this, clock_, deadlines_);
  connections_.insert(connection);
  connection->takeUp(rest);
  return connection;
}

// Guards clients whose connection stands in the accept queue: closing the listener would reset them.
void Listener::emptyQueue() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && connections_.size() < cap_) {
    boost::asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) admit(std::move(socket));
  }
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

void Listener::evacuate() {
  if (std::exchange(evacuated_, true)) return;
  sweep_ = deadlines_.add(clock_.nowMs() + kFrontLearnsMs, [this] { sweepIdle(); });
}

void Listener::activate() {
  evacuated_ = false;
  deadlines_.cancel(sweep_);
}

void Listener::sweepIdle() {
  sweep_.reset();
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->closeIdle();
  sweep_ = deadlines_.add(clock_.nowMs() + kSweepMs, [this] { sweepIdle(); });
}

void Listener::capAt(std::size_t cap) {
  cap_ = cap;
  for (std::size_t before = connections_.size() + 1;
       connections_.size() > cap_ && connections_.size() < before;) {
    before = connections_.size();
    makeRoom();
  }
  accept();
}

void Listener::drain(double doorOpenMs, std::function<void()> done) {
  if (draining_) return;
  done_ = std::move(done);
  draining_ = true;
  if (doorOpenMs <= 0) return closeDoor();
  deadlines_.add(clock_.nowMs() + doorOpenMs, [this] { closeDoor(); });
}

void Listener::closeDoor() {
  if (isOpen()) emptyQueue();
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
