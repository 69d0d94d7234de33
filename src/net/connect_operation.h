/// One attempt to open a connection. What this machine could not begin for lack of resources is
/// tried again until the caller cancels; there is no time limit of its own.
#pragma once

#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/connection.h"

namespace inference_router::net {

/// Kept alive by its pending handler or timer. Belongs to the thread of the connection's socket.
class ConnectOperation final : public std::enable_shared_from_this<ConnectOperation> {
 public:
  using Done = std::function<void(const boost::system::error_code&)>;

  /// What an operation needs of the process; all outlive it.
  struct Context {
    const core::Clock& clock;
    core::TimerQueue& timers;
    core::Counters& counters;
  };

  /// Connects to connection->to and calls done once, unless cancel() comes before. A fault of this
  /// machine is never reported; see hadLocalFault().
  static std::shared_ptr<ConnectOperation> start(std::shared_ptr<Connection> connection,
                                                 const Context& context,
                                                 Done done);

  /// Done will not be called. The socket stays as it is.
  void cancel();
  /// Whether a fault of this machine has cost a part of the time.
  bool hadLocalFault() const { return hadLocalFault_; }

 private:
  ConnectOperation(std::shared_ptr<Connection> connection, const Context& context, Done done);
  void connect();
  void connected(const boost::system::error_code& error);
  void awaitInterrupted();
  void retry();

  std::shared_ptr<Connection> connection_;
  Context context_;
  Done done_;  // none once it was called or cancelled
  core::Timer retryTimer_;
  bool hadLocalFault_ = false;
};

}  // namespace inference_router::net
