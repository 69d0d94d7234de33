/// Detects that a client disconnects while its request is being answered. Nothing is read
/// meanwhile: received bytes belong to the next request and stay in the kernel, as the current
/// answer may turn out to be the last. The kernel reports more bytes, and a close behind them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "net/client_input.h"

namespace inference_router::net {

/// Owned by the connection that owns the socket and the input.
class PeerWatch {
 public:
  struct Callbacks {
    std::function<bool()> isAnswering;     ///< if false, the watch ends
    std::function<bool()> keepsReadAhead;  ///< whether pipelined requests will be served
    std::function<void()> onDisconnected;  ///< the client has closed or broken the connection
  };

  PeerWatch(boost::asio::ip::tcp::socket& socket,
            ClientInput& input,
            const core::Clock& clock,
            core::TimerQueue& timers,
            Callbacks callbacks)
      : socket_(socket),
        input_(input),
        clock_(clock),
        timers_(timers),
        callbacks_(std::move(callbacks)) {}

  /// Does nothing while an operation is pending. owner: the connection, kept alive by the watch.
  void start(const std::shared_ptr<void>& owner);
  void cancelTimer() { timer_.cancel(); }

 private:
  void onEvent(const std::shared_ptr<void>& owner);
  void readAhead(const std::shared_ptr<void>& owner);
  void startLater(const std::shared_ptr<void>& owner);

  boost::asio::ip::tcp::socket& socket_;
  ClientInput& input_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  Callbacks callbacks_;
  core::Timer timer_;
  bool pending_ = false;
};

}  // namespace inference_router::net
