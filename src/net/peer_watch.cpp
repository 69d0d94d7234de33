#include "net/peer_watch.h"

namespace inference_router::net {

namespace {

constexpr double kRetryDelayMs = 20;  // between two checks of a client that causes no event

}  // namespace

void PeerWatch::start(const std::shared_ptr<void>& owner) {
  if (pending_ || !callbacks_.isAnswering())
    return;
  pending_ = true;
  input_.recordArrivals();
  input_.wakeOnNextByte();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [this, owner](const boost::system::error_code& error) {
                       pending_ = false;
                       if (!error && callbacks_.isAnswering())
                         onEvent(owner);
                     });
}

void PeerWatch::onEvent(const std::shared_ptr<void>& owner) {
  if (!input_.isPeerPresent())
    return callbacks_.onDisconnected();
  const bool more = input_.recordArrivals();
  if (input_.mustReadAhead())
    return readAhead(owner);
  if (more)
    return start(owner);
  // Readable without new bytes: the kernel is short of buffer space and keeps reporting it, or
  // another process that had the connection has changed the socket's threshold.
  input_.forgetWakeThreshold();
  startLater(owner);
}

void PeerWatch::readAhead(const std::shared_ptr<void>& owner) {
  if (input_.readAhead(callbacks_.keepsReadAhead()) == ClientInput::ReadAhead::kPause)
    return startLater(owner);
  start(owner);
}

void PeerWatch::startLater(const std::shared_ptr<void>& owner) {
  timer_ = timers_.schedule(clock_.nowMs() + kRetryDelayMs, [this, owner] {
    if (!callbacks_.isAnswering())
      return;
    if (!input_.isPeerPresent())
      return callbacks_.onDisconnected();
    input_.allowReadAhead();
    start(owner);
  });
}

}  // namespace inference_router::net
