#include "net/lingering_close.h"

#include <array>

#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

constexpr double kLingerTimeoutMs = 500;  // for the client to close after this side's shutdown
constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;  // within that time
constexpr std::size_t kReadSize = std::size_t{8} * 1024;

}  // namespace

void LingeringClose::start(const std::shared_ptr<void>& owner,
                           const core::Clock& clock,
                           core::TimerQueue& timers) {
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  timer_ = timers.schedule(clock.nowMs() + kLingerTimeoutMs, [this, owner] { onDone_(); });
  awaitInput(owner);
}

void LingeringClose::awaitInput(const std::shared_ptr<void>& owner) {
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [this, owner](const boost::system::error_code& error) {
                       if (!cancelled_)
                         onInput(owner, /*failed=*/static_cast<bool>(error));
                     });
}

void LingeringClose::onInput(const std::shared_ptr<void>& owner, bool failed) {
  if (failed)
    return onDone_();
  if (input_.hasUnread() && !discardsInput_)
    return;  // another request: left unread until the timeout
  if (!discardsInput_ || discardInput())
    return onDone_();
  awaitInput(owner);
}

// Returns true once the client has closed, or has sent too much.
bool LingeringClose::discardInput() {
  std::array<char, kReadSize> dropped;
  const IoResult received = receive(socket_.native_handle(), dropped);
  discardedBytes_ += received.bytes;
  return received.status == IoStatus::kEnded || received.status == IoStatus::kFailed ||
         discardedBytes_ > kMaxDiscardedBytes;
}

void LingeringClose::cancel() {
  cancelled_ = true;
  timer_.cancel();
}

}  // namespace inference_router::net
