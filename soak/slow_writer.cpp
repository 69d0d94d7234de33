#include "slow_writer.h"

#include <boost/asio/write.hpp>
#include <cstdlib>
#include <utility>

#include "net/message.h"

namespace inference_router::soak {

namespace {

constexpr double kMaxPauseMs = 300;  // between two requests
constexpr std::size_t kFirstBytes = 40;
// Between the parts of a request; a client has 2 s for the whole.
constexpr double kMinPartGapMs = 50, kMaxPartGapMs = 1'700;
constexpr double kLeastBudget = 0.5;  // of the longest deadline
constexpr double kAtMostOnceShare = 0.6;
constexpr std::size_t kStatusAt = sizeof "HTTP/1.1 " - 1;

}  // namespace

SlowWriter::SlowWriter(Environment& environment,
                       int router,
                       int number,
                       net::Endpoint to,
                       double maxDeadlineMs)
    : environment_(environment),
      router_(router),
      number_(number),
      to_(std::move(to)),
      maxDeadlineMs_(maxDeadlineMs) {}

void SlowWriter::start() {
  environment_.after(environment_.drawn(0, kMaxPauseMs), [this] { connect(); });
}

void SlowWriter::connect() {
  if (stopped_)
    return;
  id_ = std::to_string(router_) + "-w" + std::to_string(number_) + "-" + std::to_string(++sent_);
  answer_.clear();
  written_ = false;
  connectedMs_ = environment_.clock.nowMs();
  socket_ = std::make_shared<Socket>(environment_.io);
  socket_->async_connect(to_, [this, socket = socket_](const boost::system::error_code& error) {
    if (!error)
      return writeFirstPart();
    socket_ = nullptr;  // nobody has taken anything
    start();
  });
}

void SlowWriter::writeFirstPart() {
  ClientView& view = environment_.requestLog.entry(id_);
  view.atMostOnce = environment_.drawn(0, 1) < kAtMostOnceShare;
  view.router = router_;
  view.slowWriter = true;
  view.budgetMs = environment_.drawn(kLeastBudget, 1) * maxDeadlineMs_;
  view.sentMs = environment_.clock.nowMs();
  const std::string body = R"({"model":"m","stream":true,"messages":[]})";
  const std::string text =
      net::headText("POST /v1/chat/completions HTTP/1.1",
                    {{"Host", "soak"},
                     {"Connection", "close"},
                     {"X-Call-Id", id_},
                     {"X-Call-Class", view.atMostOnce ? "change" : "ask"},
                     {"X-Caller", "club"},
                     {"X-Route-Hash", id_},
                     {"X-Budget-Ms", std::to_string(static_cast<long>(view.budgetMs))},
                     {"X-Call-Info", "prompt_len=100,max_out=50"},
                     {"Content-Length", std::to_string(body.size())}}) +
      body;
  boost::system::error_code error;
  boost::asio::write(*socket_, boost::asio::buffer(text.data(), kFirstBytes), error);
  rest_ = text.substr(kFirstBytes);
  read();
  environment_.after(environment_.drawn(kMinPartGapMs, kMaxPartGapMs), [this, socket = socket_] {
    if (socket == socket_)
      writeRest();
  });
}

// The request counts from its last byte.
void SlowWriter::writeRest() {
  boost::system::error_code error;
  boost::asio::write(*socket_, boost::asio::buffer(rest_), error);
  written_ = !error;
  environment_.requestLog.entry(id_).sentMs = environment_.clock.nowMs();
}

void SlowWriter::read() {
  socket_->async_read_some(
      boost::asio::buffer(buffer_),
      [this, socket = socket_](const boost::system::error_code& error, std::size_t bytes) {
        if (socket != socket_)
          return;
        answer_.append(buffer_.data(), bytes);
        if (!error)
          return read();
        over();
      });
}

void SlowWriter::over() {
  ClientView& view = environment_.requestLog.entry(id_);
  if (answer_.size() > kStatusAt) {
    view.answeredMs = environment_.clock.nowMs();
    view.status = static_cast<unsigned>(std::atoi(answer_.c_str() + kStatusAt));
    view.complete = answer_.find("data: [DONE]") != std::string::npos;
    if (view.status == 200 && !view.complete)
      view.brokenStream = true;
  } else if (!written_) {
    view.undecided = true;  // nobody has taken it
  }
  socket_ = nullptr;
  start();
}

void SlowWriter::markUndecidedSince(double servingSinceMs) {
  if (busy() && (connectedMs_ >= servingSinceMs || !answer_.empty()))
    environment_.requestLog.entry(id_).undecided = true;
}

}  // namespace inference_router::soak
