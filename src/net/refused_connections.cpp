#include "net/refused_connections.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace inference_router::net {

namespace {

constexpr std::size_t kMaxConnections = 16;  // beyond it, connections close right after the refusal
constexpr double kMaxOpenMs = 300;
constexpr std::size_t kReadSize = 1024;

}  // namespace

class RefusedConnections::RefusedConnection final
    : public std::enable_shared_from_this<RefusedConnection> {
 public:
  RefusedConnection(RefusedConnections& owner, boost::asio::ip::tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)) {}

  void start() {
    timer_ = owner_->timers_.schedule(owner_->clock_.nowMs() + kMaxOpenMs,
                                      [self = shared_from_this()] { self->close(); });
    read();
  }

  void close() {
    if (owner_ == nullptr)
      return;
    RefusedConnections& owner = *std::exchange(owner_, nullptr);
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (owner.descriptorBudget_ != nullptr)
      owner.descriptorBudget_->give(admission::Account::kRefusals);
    owner.connections_.erase(shared_from_this());
  }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(dropped_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
          if (self->owner_ == nullptr)
            return;
          if (error)
            return self->close();
          self->read();
        });
  }

  RefusedConnections* owner_;  // null once closed
  boost::asio::ip::tcp::socket socket_;
  std::array<char, kReadSize> dropped_{};
  core::Timer timer_;
};

RefusedConnections::~RefusedConnections() {
  while (!connections_.empty())
    (*connections_.begin())->close();
}

bool RefusedConnections::reserve() {
  if (connections_.size() >= kMaxConnections)
    return false;
  return descriptorBudget_ == nullptr || descriptorBudget_->take(admission::Account::kRefusals);
}

void RefusedConnections::add(boost::asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;
  socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  const auto connection = std::make_shared<RefusedConnection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->start();
}

}  // namespace inference_router::net
