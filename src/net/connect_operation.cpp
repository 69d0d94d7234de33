#include "net/connect_operation.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net/socket_calls.h"
#include "net/socket_input.h"

namespace inference_router::net {

namespace {

// The result of a connect() that completed asynchronously.
boost::system::error_code pendingError(boost::asio::ip::tcp::socket& socket) {
  int pending = 0;
  socklen_t size = sizeof pending;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size) != 0)
    pending = errno;
  return {pending, boost::system::system_category()};
}

}  // namespace

std::shared_ptr<ConnectOperation> ConnectOperation::start(std::shared_ptr<Connection> connection,
                                                          const Context& context,
                                                          Done done) {
  std::shared_ptr<ConnectOperation> operation(
      new ConnectOperation(std::move(connection), context, std::move(done)));
  operation->connect();
  return operation;
}

ConnectOperation::ConnectOperation(std::shared_ptr<Connection> connection,
                                   const Context& context,
                                   Done done)
    : connection_(std::move(connection)), context_(context), done_(std::move(done)) {}

void ConnectOperation::connect() {
  ++context_.counters["links.opened"];
  limitReceiveBuffer();
  connection_->socket.async_connect(
      connection_->endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
        self->connected(error);
      });
}

// The kernel announces its window as the connection is made. If the socket cannot be opened here,
// async_connect() fails for the same reason.
void ConnectOperation::limitReceiveBuffer() {
  if (!connection_->receiveBufferBytes)
    return;
  boost::system::error_code ignored;
  connection_->socket.open(connection_->endpoint.protocol(), ignored);
  if (connection_->socket.is_open())
    setReceiveBufferSize(connection_->socket.native_handle(), *connection_->receiveBufferBytes);
}

void ConnectOperation::connected(const boost::system::error_code& error) {
  if (!done_)
    return;
  if (error == boost::asio::error::interrupted)
    return awaitInterrupted();
  if (isLocalFault(error))
    return retry();
  std::exchange(done_, nullptr)(error);
}

// An interrupted connect() continues asynchronously; the socket becomes writable when it ends.
void ConnectOperation::awaitInterrupted() {
  connection_->socket.async_wait(
      boost::asio::ip::tcp::socket::wait_write,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!self->done_)
          return;
        self->connected(error ? error : pendingError(self->connection_->socket));
      });
}

void ConnectOperation::retry() {
  ++context_.counters["links.local_faults"];
  hadLocalFault_ = true;
  boost::system::error_code ignored;
  connection_->socket.close(ignored);
  retryTimer_ = context_.timers.schedule(context_.clock.nowMs() + kResourceRetryMs,
                                         [self = shared_from_this()] { self->connect(); });
}

void ConnectOperation::cancel() {
  done_ = nullptr;
  retryTimer_.cancel();
}

}  // namespace inference_router::net
