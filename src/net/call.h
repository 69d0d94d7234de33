/// One request to an instance and its response. It takes its connection from a pool and gives it
/// back; nothing is ever sent again by itself.
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

/// Made by ConnectionPool::call(). Lives until its end by itself, and belongs to the pool's thread.
class Call final : public std::enable_shared_from_this<Call> {
 public:
  /// kWaiting: for a connection. kHead and kBody: what of the response is expected next.
  enum class State { kWaiting, kConnecting, kWriting, kHead, kBody, kFinished };

  Call(ConnectionPool& pool,
       Endpoint endpoint,
       std::string head,
       std::shared_ptr<const std::string> body,
       std::shared_ptr<CallSink> sink,
       bool urgent = false);

  State state() const { return state_; }
  /// Closes the connection; the sink hears no more.
  void abandon();
  /// Whether its connection carried nothing before: HTTP/1.1 does not tell whose response one on a
  /// used one is.
  bool isFirstOnConnection() const { return connection_ && connection_->calls == 1; }
  /// Whether something has come that the sink has not been given.
  bool hasUnread() const;
  /// Reads on after CallSink::body() returned false.
  void resume();
  /// The sink cannot read the body.
  void failInvalidResponse() { fail(CallFailure::kInvalidResponse); }

  /// A response in flight, as it passes from one process to another.
  struct TransferState {
    int descriptor = -1;
    std::string unread;                ///< come, and not parsed yet
    std::uint64_t chunkRemaining = 0;  ///< bytes of the current chunk
    bool keepAlive = true;
  };
  /// Reads no more; onPaused is called once no operation is in progress, and never if the call ends
  /// before.
  void pause(std::function<void()> onPaused);
  /// After pause(), as if nothing had been.
  void unpause();
  /// After pause(); nothing if the response cannot be taken up elsewhere.
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
  core::Timer startTimer_;  // until its start, then in line, then while connecting
  core::Timer writeTimer_;
  core::Timer stallTimer_;
  core::Timer readRetryTimer_;
  std::weak_ptr<ConnectOperation> connecting_;
  std::weak_ptr<SendOperation> sending_;
  std::function<void()> onPaused_;
  State state_ = State::kWaiting;
  bool urgent_;
  bool paused_ = false;  // by the sink
  bool headDelivered_ = false;
  bool reading_ = false;
  bool awaitsResources_ = false;  // before it reads again
};

}  // namespace inference_router::net
