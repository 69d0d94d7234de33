/// Notices that a client goes while it is answered. Nothing is read then: bytes that are there
/// belong to its next request and wait in the kernel, as the answer may turn out to be the last.
/// The system tells of more bytes and of an end behind them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "net/client_input.h"

namespace inference_router::net {

/// A part of the connection that owns the socket and the input.
class PeerWatch {
 public:
  struct Callbacks {
    std::function<bool()> isAnswering;     ///< else the watch ends by itself
    std::function<bool()> keepsReadAhead;  ///< whether what is read ahead is to be served
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
