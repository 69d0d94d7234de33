#include "net/line_server.h"

#include <array>
#include <utility>

#include "net/send_operation.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

constexpr double kAcceptPauseMs = 20;  // after accept failed, as when descriptors ran out
constexpr std::size_t kReadSize = 512;

}  // namespace

class LineServer::Caller final : public std::enable_shared_from_this<Caller> {
 public:
  Caller(LineServer& server, boost::asio::ip::tcp::socket socket)
      : door_(&server), socket_(std::move(socket)) {}

  void start() {
    limit_ = door_->timers_.add(door_->clock_.nowMs() + door_->limits_.callMs,
                                [self = shared_from_this()] {
                                  self->limit_.reset();
                                  self->shut();
                                });
    read();
  }

  void shut() {
    if (door_ == nullptr)
      return;
    LineServer& server = *std::exchange(door_, nullptr);
    server.timers_.cancel(limit_);
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (server.descriptorBudget_ != nullptr)
      server.descriptorBudget_->give(admission::Account::kControl);
    server.calls_.remove(shared_from_this());
  }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(part_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
          if (self->door_ == nullptr)
            return;
          if (self->answered_) {  // only its end is waited for
            if (error)
              return self->shut();
            return self->read();
          }
          self->line_.append(self->part_.data(), count);
          self->see(/*ended=*/error == boost::asio::error::eof, static_cast<bool>(error));
        });
  }

  // A line ends with its end, or with the caller's sending.
  void see(bool ended, bool failed) {
    const std::size_t end = line_.find('\n');
    const std::size_t most = door_->limits_.lineBytes;
    if (end != std::string::npos)
      line_.resize(end);
    else if (line_.size() > most + 1)
      line_.resize(most + 1);
    else if (ended && !line_.empty()) {
    } else if (failed)
      return shut();
    else
      return read();
    if (!line_.empty() && line_.back() == '\r')
      line_.pop_back();
    answered_ = true;
    ++door_->counters_["door.calls"];
    door_->answer_(line_, [weak = weak_from_this(), ended](std::string text) {
      const auto self = weak.lock();
      if (self && self->door_ != nullptr)
        self->write(std::move(text), ended);
    });
  }

  void write(std::string text, bool ended) {
    text_ = std::move(text);
    const auto self = shared_from_this();
    SendOperation::start(
        {self, &socket_}, text_, {}, [self, ended](const boost::system::error_code& error) {
          if (self->door_ == nullptr)
            return;
          if (error || ended)
            return self->shut();
          // Closing with input unread would reset the connection and take the answer from the
          // caller's hands.
          boost::system::error_code ignored;
          self->socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
          self->read();
        });
  }

  LineServer* door_;  // none once closed
  boost::asio::ip::tcp::socket socket_;
  std::array<char, kReadSize> part_{};
  std::string line_, text_;
  std::optional<core::TimerQueue::Key> limit_;
  bool answered_ = false;
};

LineServer::LineServer(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& address,
                       LaterAnswer answer,
                       const core::Clock& clock,
                       core::TimerQueue& timers,
                       core::Counters& counters,
                       Limits limits)
    : io_(io),
      acceptor_(io, address, /*reuse_addr=*/true),
      answer_(std::move(answer)),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      limits_(limits) {
  acceptor_.non_blocking(true);
  accept();
}

LineServer::~LineServer() {
  timers_.cancel(pause_);
  while (!calls_.empty())
    calls_.front()->shut();
}

void LineServer::accept() {
  acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (error != boost::asio::error::operation_aborted)
                           acceptOne();
                       });
}

void LineServer::acceptOne() {
  const AcceptResult next = acceptNext(acceptor_.native_handle());
  const bool waits =
      next.status == AcceptStatus::kNoDescriptors || next.status == AcceptStatus::kNoResources;
  if (waits) {
    pause_ = timers_.add(clock_.nowMs() + kAcceptPauseMs, [this] {
      pause_.reset();
      accept();
    });
    return;
  }
  if (next.status == AcceptStatus::kAccepted)
    admit(next.descriptor);
  accept();
}

void LineServer::admit(int descriptor) {
  boost::asio::ip::tcp::socket socket(io_);
  if (assign(socket, acceptor_.local_endpoint().protocol(), descriptor))
    return;
  // Callers that never finish hold up nobody: the first of them goes.
  if (calls_.size() >= limits_.connections) {
    ++counters_["door.made_room"];
    calls_.front()->shut();
  }
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(admission::Account::kControl);
  calls_.push_back(std::make_shared<Caller>(*this, std::move(socket)));
  calls_.back()->start();
}

}  // namespace inference_router::net
