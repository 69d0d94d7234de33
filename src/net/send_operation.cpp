#include "net/send_operation.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "net/socket_calls.h"

namespace inference_router::net {

std::shared_ptr<SendOperation> SendOperation::start(
    std::shared_ptr<boost::asio::ip::tcp::socket> socket,
    std::string_view first,
    std::string_view second,
    Done done) {
  std::shared_ptr<SendOperation> operation(
      new SendOperation(std::move(socket), first, second, std::move(done)));
  operation->proceed();
  return operation;
}

SendOperation::SendOperation(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                             std::string_view first,
                             std::string_view second,
                             Done done)
    : socket_(std::move(socket)),
      first_(first),
      second_(second),
      done_(std::move(done)),
      retryTimer_(socket_->get_executor()) {}

void SendOperation::proceed() {
  if (!done_)
    return;
  if (!socket_->is_open())
    return finish(boost::asio::error::operation_aborted);
  const IoResult result = sendAvailable(socket_->native_handle(), first_, second_);
  const std::size_t sentOfFirst = std::min(first_.size(), result.bytes);
  first_.remove_prefix(sentOfFirst);
  second_.remove_prefix(result.bytes - sentOfFirst);
  switch (result.status) {
    case IoStatus::kDone:
      return finish({});
    case IoStatus::kWouldBlock:
      return awaitWritable();
    case IoStatus::kNoResources:
      return awaitResources(result.error);
    case IoStatus::kEnded:
    case IoStatus::kFailed:
      break;
  }
  finish({result.error, boost::system::system_category()});
}

void SendOperation::awaitWritable() {
  pendingError_ = boost::asio::error::operation_aborted;
  socket_->async_wait(boost::asio::ip::tcp::socket::wait_write,
                      [self = shared_from_this()](const boost::system::error_code& error) {
                        if (error)
                          return self->finish(error);
                        self->proceed();
                      });
}

void SendOperation::awaitResources(int error) {
  pendingError_.assign(error, boost::system::system_category());
  retryTimer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(kResourceRetryMs)));
  retryTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& failed) {
    if (!failed)
      self->proceed();
  });
}

void SendOperation::cancel() {
  if (!done_)
    return;
  finish(pendingError_);
  retryTimer_.cancel();
  boost::system::error_code ignored;
  socket_->cancel(ignored);
}

void SendOperation::finish(const boost::system::error_code& error) {
  if (!done_)
    return;
  boost::asio::post(
      socket_->get_executor(),
      [self = shared_from_this(), done = std::exchange(done_, nullptr), error] { done(error); });
}

}  // namespace inference_router::net
