/// One client's connection: reads one request at a time, writes its response and detects when the
/// client disconnects.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "net/client_input.h"
#include "net/connection_limits.h"
#include "net/lingering_close.h"
#include "net/message.h"
#include "net/output_queue.h"
#include "net/peer_watch.h"
#include "net/request_handler.h"

namespace inference_router::net {

/// Kept alive by its owner and by its pending operations. Confined to one thread. The handler, the
/// owner, the clock and the timers outlive it.
class ClientConnection final : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { kIdle, kReading, kAnswering, kStreaming, kFlushing, kClosed };

  /// Callbacks to the listener that owns the connection.
  struct Owner {
    virtual ~Owner() = default;
    virtual void closed(const std::shared_ptr<ClientConnection>& connection) = 0;
    /// Whether connections are to be closed after their current answer.
    virtual bool draining() const = 0;
    /// Whether clients wait because no further connection can be accepted.
    virtual bool hasWaitingClients() const { return false; }
    /// The last answer before a close could not be written completely.
    virtual void answerTruncated() {}
    virtual ConnectionLimits connectionLimits() const { return {}; }
    /// Frees memory by refusing the oldest large incomplete request. Returns false if there is none
    /// but that of the given connection.
    virtual bool refuseOldestInput(ClientConnection&) { return false; }
    virtual void requestStarted(ClientConnection&) {}
    virtual void requestFinished(ClientConnection&) {}
    /// A request was authenticated with the named key.
    virtual void identified(ClientConnection&, const std::string&) {}
  };

  ClientConnection(boost::asio::ip::tcp::socket socket,
                   RequestHandler& handler,
                   Owner& owner,
                   const core::Clock& clock,
                   core::TimerQueue& timers);

  /// Set and used by the owner.
  std::uint64_t admissionId = 0;

  void start();
  void identify(const std::string& keyName) { owner_.identified(*this, keyName); }
  State state() const { return state_; }
  double idleSinceMs() const { return idleSinceMs_; }
  /// Arrival of the request that is being read or answered.
  double requestArrivedMs() const { return requestArrivedMs_; }
  /// Whether more than a small request is being read.
  bool isReadingLargeRequest() const;
  /// Refuses the request that is being read, and frees its memory.
  void refuseInputForMemory();
  /// Refuses a request that has not arrived completely.
  void refuseIncompleteInput(std::string_view reason);
  /// Whether the client has not closed the connection, as far as the kernel knows now. Detects a
  /// close whose handler has not run yet, and one behind requests that have not been read.
  bool isPeerPresent() const;

  // ---- Answers ----

  void answer(unsigned status, Fields fields, std::string_view body);
  void beginStream(Fields fields);
  /// Writes one chunk of the stream. Returns false if the caller is to pause until
  /// RequestHandler::writable().
  bool writeChunk(std::string_view data);
  void endStream();
  /// Closes without a last chunk, once all pending output is sent.
  void abortResponse();

  // ---- Closing ----

  /// Whether the connection may be closed in favour of another: it has no request in progress.
  /// Connections that never sent a complete request are evicted first, but not right after
  /// connecting.
  enum class Evictability { kNone, kIdle, kNeverRequested };
  Evictability evictability() const;
  /// Closes the connection if evictability() allows it; returns false if not, or if a request has
  /// arrived meanwhile. An incomplete request gets a refusal.
  bool evictIfAllowed();
  /// Closes unless a request is in progress. A received request, or a part of one, gets a refusal.
  void evict();
  /// Closes an idle connection, unless a request has been received or the connection is new.
  void closeIdle();

  // ---- Transfer to another process ----

  /// A stream in flight that is handed over to another process.
  struct TransferState {
    int descriptor = -1;
    /// Bytes of later requests that were read ahead; usually none, as they stay in the kernel.
    std::string pipelinedInput;
    /// Arrival of the first byte of the next request, read or unread; 0: unknown, or no bytes.
    double pipelinedSinceMs = 0;
    bool keepAlive = true;
  };
  /// Empty unless a stream is in progress with no output pending.
  std::optional<TransferState> transferState();
  /// Gives up a connection that another process owns now, without ending it.
  void release();
  /// Continues the stream of another process; called instead of start().
  void adopt(const TransferState& state);

 private:
  void read();
  void awaitInput();
  void onInput();
  void retryInput();
  void startRequest();
  void handleRequest();
  void refuseInput(const boost::system::error_code& error);
  void refuseInput(unsigned status, std::string_view reason);
  bool chargeInput();
  void readBuffered();
  void refuseShed();
  void setInputTimeout(double afterMs);
  void inputTimedOut();
  bool isAnswering() const;
  bool isLastAnswer();
  void write(std::string_view bytes);
  void flush();
  void written(const boost::system::error_code& error);
  void answerFinished();
  void closeGracefully();
  void closeUnlessUnread();
  void refuseAndClose();
  void close();
  void cancelTimers();

  boost::asio::ip::tcp::socket socket_;
  RequestHandler& handler_;
  Owner& owner_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  ClientInput input_;
  OutputQueue output_;
  PeerWatch peerWatch_;
  std::optional<LingeringClose> lingeringClose_;
  core::Timer inputTimer_;
  State state_ = State::kIdle;
  double connectedMs_ = 0;
  double idleSinceMs_ = 0;
  double requestArrivedMs_ = 0;
  int answersBeforeClose_ = 0;  // to pipelined requests on a connection that is to close
  bool keepAlive_ = true;
  bool awaitsWritable_ = false;  // the handler waits for writable()
  bool hasRequested_ = false;
  bool refusesPipelined_ = false;  // other clients wait for a connection
  bool refusedInput_ = false;      // all further input belongs to the refused request
};

}  // namespace inference_router::net
