/// One client's connection: reads a request at a time, carries its answer, notices when the client
/// goes.
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
#include "net/lingering_close.h"
#include "net/message.h"
#include "net/output_queue.h"
#include "net/peer_watch.h"
#include "net/request_handler.h"

namespace inference_router::net {

/// Kept alive by its owner and by its pending operations. Belongs to one thread; the handler, the
/// owner, the clock and the timers outlive it.
class ClientConnection final : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { kIdle, kReading, kAnswering, kStreaming, kFlushing, kClosed };

  /// What the listener wants to know.
  struct Owner {
    virtual ~Owner() = default;
    virtual void closed(const std::shared_ptr<ClientConnection>& connection) = 0;
    /// Whether connections are to close after their answer.
    virtual bool draining() const = 0;
    /// An answer right before a close could not be written in full.
    virtual void answerTruncated() {}
    virtual void requestStarted(ClientConnection&) {}
    virtual void requestFinished(ClientConnection&) {}
    /// A request carried this client's key.
    virtual void identified(ClientConnection&, const std::string&) {}
  };

  ClientConnection(boost::asio::ip::tcp::socket socket,
                   RequestHandler& handler,
                   Owner& owner,
                   const core::Clock& clock,
                   core::TimerQueue& timers);

  /// Given by the owner, for its own use.
  std::uint64_t admissionId = 0;

  void start();
  void identify(const std::string& keyName) { owner_.identified(*this, keyName); }
  State state() const { return state_; }
  double idleSinceMs() const { return idleSinceMs_; }
  /// Whether the client is still there, by what its machine has said up to this moment: its close
  /// may have come and its handler not have run yet, or stand behind requests that are not read
  /// before their turn.
  bool isPeerPresent() const;

  // ---- Answers ----

  void answer(unsigned status, Fields fields, std::string_view body);
  void beginStream(Fields fields);
  /// Writes a part of the stream. False: enough is pending, until RequestHandler::writable().
  bool writeChunk(std::string_view data);
  void endStream();
  /// Closes without a last chunk, once what was passed is out.
  void abortResponse();

  // ---- Closing ----

  /// Whether it may be closed in favour of another: no request of it is open. Those come first that
  /// never sent a complete one, though each gets a moment for it.
  enum class Evictability { kNone, kIdle, kNeverRequested };
  Evictability evictability() const;
  /// Closes what evictability() allowed; false if a request has come meanwhile. Part of a request
  /// gets an answer.
  bool evictIfAllowed();
  /// Closes unless a request is open. A request that has come, or part of one, gets an answer.
  void evict();
  /// Closes between two requests, unless one has come already or may be about to.
  void closeIdle();

  // ---- Transfer to another process ----

  /// A stream in flight, as it passes from one process to another.
  struct TransferState {
    int descriptor = -1;
    std::string pipelinedInput;  ///< bytes of later requests that were read; mostly none, as they
                                 ///< stand unread until their turn
    double pipelinedSinceMs =
        0;  ///< when their first byte came, read or not; 0: unknown, or no bytes
    bool keepAlive = true;
  };
  /// Nothing while anything waits to be written.
  std::optional<TransferState> transferState();
  /// Lets go of a connection that another process owns now.
  void release();
  /// Takes up what another process left off, in place of start().
  void adopt(const TransferState& state);

 private:
  void read();
  void awaitInput();
  void onInput();
  void retryInput();
  void startRequest();
  void handleRequest();
  void refuseInput(const boost::system::error_code& error);
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
  int servedWhileDraining_ = 0;
  bool keepAlive_ = true;
  bool awaitsWritable_ = false;  // the handler waits for writable()
  bool hasRequested_ = false;
  bool refusedInput_ = false;  // what follows belongs to it
};

}  // namespace inference_router::net
