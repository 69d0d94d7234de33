/// One HTTP request to an instance and its response. The call takes a connection from a pool and
/// returns it. It never resends a request.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/timer_queue.h"
#include "net/call_sink.h"
#include "net/connect_operation.h"
#include "net/connection.h"
#include "net/response_parser.h"
#include "net/send_operation.h"

namespace inference_router::net {

class ConnectionPool;

/// Created by ConnectionPool::call(). Keeps itself alive until it has ended. Confined to the pool's
/// thread.
class Call final : public std::enable_shared_from_this<Call> {
 public:
  /// kWaiting: queued for a connection. kHead and kBody: the expected part of the response.
  enum class State { kWaiting, kConnecting, kWriting, kHead, kBody, kFinished };

  Call(ConnectionPool& pool,
       Endpoint endpoint,
       std::string head,
       std::shared_ptr<const std::string> body,
       std::shared_ptr<CallSink> sink,
       bool urgent = false);

  State state() const { return state_; }
  /// Closes the connection without any further call to the sink.
  void abandon();
  /// Whether this is the first call on its connection. On a reused connection HTTP/1.1 cannot tell
  /// which request a response belongs to.
  bool isFirstOnConnection() const { return connection_ && connection_->calls == 1; }
  /// Whether the socket has bytes that the call has not read. True if the socket cannot be
  /// examined.
  bool hasUnread() const;
  /// Continues reading after CallSink::body() returned false.
  void resume();
  /// Whether a pause in the middle of the response does not end the call from now on: the sink
  /// limits it.
  void setPausesAllowed(bool allowed) { pausesAllowed_ = allowed; }
  /// Whether bytes of a chunk are missing that was announced.
  bool isWithinChunk() const { return parser_.isChunked() && parser_.chunkRemaining() > 0; }
  /// Ends the call because the sink cannot parse the body.
  void failInvalidResponse() { fail(CallFailure::kInvalidResponse); }

  /// A response in flight that is handed over to another process.
  struct TransferState {
    int descriptor = -1;
    std::string unread;                ///< received, and not parsed yet
    std::uint64_t chunkRemaining = 0;  ///< missing bytes of the current chunk
    bool keepAlive = true;
  };
  /// Stops reading. onPaused is called once no operation is in progress, and never if the call ends
  /// first.
  void pause(std::function<void()> onPaused);
  /// Continues reading after pause() or ConnectionPool::adopt().
  void unpause();
  /// The state to hand over after pause(); empty if another process cannot continue the response.
  std::optional<TransferState> transferState() const;

 private:
  friend class ConnectionPool;

  void start(std::shared_ptr<Connection> connection, bool isNew);
  void adopt(std::shared_ptr<Connection> connection, const TransferState& state);
  void connect();
  void connectTimedOut();
  void connected(const boost::system::error_code& error);
  void write();
  void sendRequest();
  void requestSent(const boost::system::error_code& error);
  void read();
  void received(const boost::system::error_code& error, std::size_t bytes);
  void retryRead();
  void parse();
  bool deliverBody();
  void complete();
  void withdraw();
  void fail(CallFailure failure);
  std::shared_ptr<CallSink> finish();
  void trace(const char* event, int status = 0) const;

  ConnectionPool& pool_;
  Endpoint endpoint_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<CallSink> sink_;
  std::shared_ptr<Connection> connection_;
  ResponseParser parser_;
  core::Timer startTimer_;  // delayed start, then wait for a connection, then connect timeout
  core::Timer writeTimer_;
  core::Timer stallTimer_;
  core::Timer readRetryTimer_;
  std::weak_ptr<ConnectOperation> connecting_;
  std::weak_ptr<SendOperation> sending_;
  std::function<void()> onPaused_;
  State state_ = State::kWaiting;
  bool urgent_;
  bool paused_ = false;  // by the sink
  bool pausesAllowed_ = false;
  bool headDelivered_ = false;
  bool reading_ = false;
  bool awaitsResources_ = false;  // a read retry is pending
};

}  // namespace inference_router::net
