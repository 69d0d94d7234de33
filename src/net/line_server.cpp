#include "net/line_server.h"

#include <array>
#include <utility>

#include "net/send_operation.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

// Delay after accept failed, for instance for lack of descriptors.
constexpr double kAcceptRetryDelayMs = 20;
constexpr std::size_t kReadSize = 512;

}  // namespace

class LineServer::Session final : public std::enable_shared_from_this<Session> {
 public:
  Session(LineServer& server, boost::asio::ip::tcp::socket socket)
      : server_(&server), socket_(std::move(socket)) {}

  void start() {
    timer_ = server_->timers_.schedule(server_->clock_.nowMs() + server_->limits_.callMs,
                                       [self = shared_from_this()] { self->close(); });
    read();
  }

  void close() {
    if (server_ == nullptr)
      return;
    LineServer& server = *std::exchange(server_, nullptr);
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (server.descriptorBudget_ != nullptr)
      server.descriptorBudget_->give(admission::Account::kControl);
    server.sessions_.remove(shared_from_this());
  }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(received_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
          if (self->server_ == nullptr)
            return;
          if (self->answered_) {  // further input is ignored until the caller closes
            if (error)
              return self->close();
            return self->read();
          }
          self->line_.append(self->received_.data(), count);
          self->parse(/*ended=*/error == boost::asio::error::eof,
                      /*failed=*/static_cast<bool>(error));
        });
  }

  // A line ends with a newline, or when the caller shuts down sending.
  void parse(bool ended, bool failed) {
    const bool complete = extractLine() || (ended && !line_.empty());
    if (!complete && failed)
      return close();
    if (!complete)
      return read();
    if (!line_.empty() && line_.back() == '\r')
      line_.pop_back();
    handleLine(ended);
  }

  // Returns whether the line is complete or longer than the limit, and drops the bytes behind it.
  bool extractLine() {
    const std::size_t end = line_.find('\n');
    const std::size_t overLimit = server_->limits_.lineBytes + 1;
    if (end == std::string::npos && line_.size() <= overLimit)
      return false;
    line_.resize(end != std::string::npos ? end : overLimit);
    return true;
  }

  void handleLine(bool ended) {
    answered_ = true;
    ++server_->counters_["door.calls"];
    server_->handler_(line_, [weak = weak_from_this(), ended](std::string text) {
      const auto self = weak.lock();
      if (self && self->server_ != nullptr)
        self->write(std::move(text), ended);
    });
  }

  void write(std::string text, bool ended) {
    reply_ = std::move(text);
    const auto self = shared_from_this();
    SendOperation::start(
        {self, &socket_}, reply_, {}, [self, ended](const boost::system::error_code& error) {
          if (self->server_ == nullptr)
            return;
          if (error || ended)
            return self->close();
          // Closing with unread input would reset the connection, and the caller could lose the
          // reply.
          boost::system::error_code ignored;
          self->socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
          self->read();
        });
  }

  LineServer* server_;  // null once closed
  boost::asio::ip::tcp::socket socket_;
  std::array<char, kReadSize> received_{};
  std::string line_;
  std::string reply_;
  core::Timer timer_;
  bool answered_ = false;
};

LineServer::LineServer(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& address,
                       AsyncHandler handler,
                       const core::Clock& clock,
                       core::TimerQueue& timers,
                       core::Counters& counters,
                       Limits limits)
    : io_(io),
      acceptor_(io, address, /*reuse_addr=*/true),
      handler_(std::move(handler)),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      limits_(limits) {
  acceptor_.non_blocking(true);
  accept();
}

LineServer::~LineServer() {
  while (!sessions_.empty())
    sessions_.front()->close();
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
  const bool lacksResources =
      next.status == AcceptStatus::kNoDescriptors || next.status == AcceptStatus::kNoResources;
  if (lacksResources) {
    acceptRetryTimer_ =
        timers_.schedule(clock_.nowMs() + kAcceptRetryDelayMs, [this] { accept(); });
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
  // At the limit the oldest connection is closed, so that callers that never finish block nobody.
  if (sessions_.size() >= limits_.connections) {
    ++counters_["door.made_room"];
    sessions_.front()->close();
  }
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(admission::Account::kControl);
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  sessions_.back()->start();
}

}  // namespace inference_router::net
