#include "net/output_queue.h"

#include "net/byte_buffer.h"
#include "net/send_operation.h"

namespace inference_router::net {

namespace {

constexpr double kMaxWriteMs = 30'000;

}  // namespace

void OutputQueue::append(std::string_view bytes) {
  pending_ += bytes;
  memory_.resize(heldBytes());
}

void OutputQueue::releaseWritten() {
  clearBuffer(written_);
  memory_.resize(heldBytes());
}

void OutputQueue::flush(const std::shared_ptr<void>& owner) {
  if (isWriting_ || pending_.empty())
    return;
  isWriting_ = true;
  written_.swap(pending_);
  timer_ =
      timers_.schedule(clock_.nowMs() + kMaxWriteMs, [this, owner] { callbacks_.onTimeout(); });
  SendOperation::start({owner, &socket_}, written_, {},
                       [this, owner](const boost::system::error_code& error) {
                         isWriting_ = false;
                         timer_.cancel();
                         releaseWritten();
                         callbacks_.onWritten(error);
                       });
}

}  // namespace inference_router::net
