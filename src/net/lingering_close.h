/// Closes a client's connection without losing output. Closing with unread or arriving input would
/// reset the connection, and the client could lose the last bytes written. So this side shuts down
/// sending and closes after the client has, within bounds. No request is read from then on.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "net/client_input.h"

namespace inference_router::net {

/// A part of the connection that owns the socket and the input.
class LingeringClose {
 public:
  /// discardsInput: further input belongs to a refused request and is read and discarded; otherwise
  /// another request is left unread until the timeout. onDone is called at most once, when the
  /// socket is to be closed.
  LingeringClose(boost::asio::ip::tcp::socket& socket,
                 const ClientInput& input,
                 bool discardsInput,
                 std::function<void()> onDone)
      : socket_(socket), input_(input), discardsInput_(discardsInput), onDone_(std::move(onDone)) {}

  /// owner: the connection, kept alive until onDone or cancel().
  void start(const std::shared_ptr<void>& owner,
             const core::Clock& clock,
             core::TimerQueue& timers);
  /// Prevents the call of onDone.
  void cancel();

 private:
  void awaitInput(const std::shared_ptr<void>& owner);
  void onInput(const std::shared_ptr<void>& owner, bool failed);
  bool discardInput();

  boost::asio::ip::tcp::socket& socket_;
  const ClientInput& input_;
  bool discardsInput_;
  std::function<void()> onDone_;
  core::Timer timer_;
  std::size_t discardedBytes_ = 0;
  bool cancelled_ = false;
};

}  // namespace inference_router::net
