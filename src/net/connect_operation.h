/// One attempt to open a connection. If this machine lacks resources to begin it, it is retried
/// until the caller cancels. The operation has no timeout of its own.
#pragma once

#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/connection.h"

namespace inference_router::net {

/// Kept alive by its pending handler or timer. Confined to the thread of the connection's socket.
class ConnectOperation final : public std::enable_shared_from_this<ConnectOperation> {
 public:
  using Done = std::function<void(const boost::system::error_code&)>;

  /// Services that the operation uses; all outlive it.
  struct Context {
    const core::Clock& clock;
    core::TimerQueue& timers;
    core::Counters& counters;
  };

  /// Connects to connection->endpoint and calls done once, unless cancel() is called first. Faults
  /// of this machine are retried and not reported to done; see hadLocalFault().
  static std::shared_ptr<ConnectOperation> start(std::shared_ptr<Connection> connection,
                                                 const Context& context,
                                                 Done done);

  /// Prevents the call of done. Leaves the socket as it is.
  void cancel();
  /// Whether a fault of this machine has delayed the attempt.
  bool hadLocalFault() const { return hadLocalFault_; }

 private:
  ConnectOperation(std::shared_ptr<Connection> connection, const Context& context, Done done);
  void connect();
  void limitReceiveBuffer();
  void connected(const boost::system::error_code& error);
  void awaitInterrupted();
  void retry();

  std::shared_ptr<Connection> connection_;
  Context context_;
  Done done_;  // empty once it was called or cancelled
  core::Timer retryTimer_;
  bool hadLocalFault_ = false;
};

}  // namespace inference_router::net
