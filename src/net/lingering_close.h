/// The end of a client's connection from this side. Closing with input unread, or as input arrives,
/// would reset it and take what was written last from the client's hands: so this side ends its
/// sending and closes when the client has, within bounds. No request is read from then on.
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
  /// discardsInput: what follows belongs to input that was refused, and is read and dropped; else
  /// another request is left unread until the time is over. onDone is called when the socket is to
  /// be closed, at most once.
  LingeringClose(boost::asio::ip::tcp::socket& socket,
                 const ClientInput& input,
                 bool discardsInput,
                 std::function<void()> onDone)
      : socket_(socket), input_(input), discardsInput_(discardsInput), onDone_(std::move(onDone)) {}

  /// owner: the connection, kept alive until onDone or cancel().
  void start(const std::shared_ptr<void>& owner,
             const core::Clock& clock,
             core::TimerQueue& timers);
  /// onDone will not be called.
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
