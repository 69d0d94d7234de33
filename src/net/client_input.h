/// The receiving side of a client's connection: the request that is being read, the arrival times
/// of its bytes, and requests that the client has pipelined.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/memory_budget.h"
#include "net/arrival_times.h"
#include "net/connection_limits.h"
#include "net/request_reader.h"
#include "net/shed_requests.h"

namespace inference_router::net {

/// Never blocks and starts no asynchronous operation; the connection waits for readiness. The
/// socket and the clock outlive it.
class ClientInput {
 public:
  ClientInput(boost::asio::ip::tcp::socket& socket,
              const core::Clock& clock,
              const ConnectionLimits& limits);

  // ---- The request being read ----

  /// Requests a kernel receive buffer that is large enough for pipelined requests.
  void reserveReceiveBuffer();
  void beginRequest() { reader_.begin(); }
  /// Reads the received bytes of the request.
  RequestReader::Progress readRequest(boost::system::error_code& error);
  /// Returns the complete request and prepares for the next one.
  HttpRequest takeRequest();
  /// Charges what the incomplete request holds to the memory budget. Returns false if memory is
  /// short; a small request is charged all the same.
  [[nodiscard]] bool chargeIncomplete();
  /// Bytes of the incomplete request.
  std::size_t incompleteBytes() const { return reader_.bodyBytes() + reader_.buffered().size(); }
  /// Arrival time of the first byte behind the requests taken so far; now if there is none.
  double firstByteMs() const;
  /// Records the arrival time of bytes that are new since the last call, and returns whether there
  /// are any. They may have waited in the kernel while the accept queue was full or this process
  /// was stopped; that wait counts as part of the request's time.
  bool recordArrivals();

  // ---- The socket's state ----

  /// Whether the socket has unread bytes of another request. True if the socket cannot be examined,
  /// so that a connection with a possible request is not closed.
  bool hasUnread() const;
  /// Whether bytes of later requests are buffered.
  bool hasBuffered() const { return !reader_.buffered().empty(); }
  /// Whether another request, or a part of one, has arrived behind the one taken last.
  bool hasNextRequest() const;
  /// Whether the client has neither closed nor reset the connection so far.
  bool isPeerPresent() const;
  /// Makes the socket readable only once this many bytes are unread, or the peer has closed.
  void setWakeThreshold(std::size_t unread);
  /// Makes the socket readable with the next byte that arrives, or with any unread byte while input
  /// is being read ahead.
  void wakeOnNextByte();
  /// Marks the threshold as unknown: another process may have changed it.
  void forgetWakeThreshold() { wakeThreshold_ = 0; }

  // ---- Reading ahead ----

  /// Whether so much is unread that the kernel may not be able to report a close behind it.
  bool mustReadAhead() const;
  enum class ReadAhead { kContinue, kPause };
  /// Reads some pipelined input. Up to one request of the maximum size is buffered, less if memory
  /// is short, and the requests behind it are shed; with keep false all of it is discarded. kPause:
  /// call allowReadAhead() before the next attempt.
  ReadAhead readAhead(bool keep);
  void allowReadAhead();

  // ---- Shed requests: the client pipelined more than is buffered ----

  bool hasShed() const { return shed_.has_value(); }
  /// Requests that still need an answer; call only if hasShed().
  std::size_t unansweredRequests() const { return shed_->unanswered(); }
  bool shedEndsMidRequest() const { return shed_->endsMidRequest(); }
  void countAnswered() { shed_->countAnswered(); }
  /// Reads the next request from the buffered bytes alone.
  RequestReader::Progress readBuffered(boost::system::error_code& error);
  void dropBuffered();

  // ---- Transfer to another process ----

  /// Updates the arrival times and returns whether another process can continue this input.
  bool prepareTransfer();
  const std::string& buffered() const { return reader_.buffered(); }
  /// Arrival time of the first byte of the next request; 0 if there is none.
  double bufferedSinceMs() const { return arrivals_.empty() ? 0 : arrivals_.firstMs(); }
  /// Continues the input of another process. sinceMs: the value of bufferedSinceMs() there.
  void adopt(std::string_view buffered, double sinceMs);

 private:
  int descriptor() const;
  std::size_t unreadSize() const;
  void bufferOrShed(std::string_view bytes);
  void countReadAhead(std::size_t bytes, std::size_t shedBefore);
  std::size_t readAheadCapacity(std::size_t bytes);

  boost::asio::ip::tcp::socket& socket_;
  const core::Clock& clock_;
  std::size_t maxUnreadBytes_;
  ReadAheadAllowance* sharedAllowance_;
  core::MemoryCharge incomplete_, readAhead_;
  RequestReader reader_;
  ArrivalTimes arrivals_;  // of bytes behind the requests taken so far, read or unread
  std::optional<ShedRequests> shed_;
  std::size_t readAheadThreshold_ = 0;  // bytes behind the request in progress
  std::size_t readAheadAllowance_ = 0;
  std::size_t wakeThreshold_ = 1;  // current setting of the socket; 0: unknown
};

}  // namespace inference_router::net
