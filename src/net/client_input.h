/// The receiving side of a client's connection: the request that is being read, when its bytes
/// came, and what the client has sent ahead of its turn.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "net/arrival_times.h"
#include "net/request_reader.h"
#include "net/shed_requests.h"

namespace inference_router::net {

/// Never blocks and waits for nothing: whoever owns the connection does. The socket and the clock
/// outlive it.
class ClientInput {
 public:
  ClientInput(boost::asio::ip::tcp::socket& socket, const core::Clock& clock);

  // ---- The request being read ----

  /// Asks the system for a receive buffer in which requests that are sent ahead find room.
  void reserveReceiveBuffer();
  void beginRequest() { reader_.begin(); }
  /// Reads what has come of the request.
  RequestReader::Progress readRequest(boost::system::error_code& error);
  /// The complete request. Makes ready for the next.
  HttpRequest takeRequest();
  /// When the first byte that is not part of a taken request came; now if there is none.
  double firstByteMs() const;
  /// Notes when the bytes came that are new since the last call. They may have stood in this
  /// machine, with its queue of connections full or this process stopped, and their client's time
  /// went on. Returns whether there are any.
  bool recordArrivals();

  // ---- The socket's state ----

  /// Whether a request, or a part of one, stands unread in the socket. Where this machine cannot
  /// look one may be there: a connection is not closed over it.
  bool hasUnread() const;
  /// Whether bytes were read before their turn and wait for it.
  bool hasBuffered() const { return !reader_.buffered().empty(); }
  /// Whether another request, or a part of one, has come behind the one taken last.
  bool hasNextRequest() const;
  /// Whether the client has neither closed nor broken the connection, up to this moment.
  bool isPeerPresent() const;
  /// The socket counts as readable only with so many bytes unread, or once its peer has ended.
  void setWakeThreshold(std::size_t unread);
  /// The same with the next byte that comes; with any byte while everything is read ahead.
  void wakeOnNextByte();
  /// Somebody else may have set the socket's threshold.
  void forgetWakeThreshold() { wakeThreshold_ = 0; }

  // ---- Reading ahead ----

  /// Whether so much is unread that the system may have no room for a close behind it.
  bool mustReadAhead() const;
  enum class ReadAhead { kContinue, kPause };
  /// Reads a part of what was sent ahead. Up to one request of the largest size is buffered, and
  /// the requests behind it are shed; with keep false all of it is dropped. kPause: not again
  /// before allowReadAhead().
  ReadAhead readAhead(bool keep);
  void allowReadAhead();

  // ---- Shed requests: more was sent ahead than is buffered ----

  bool hasShed() const { return shed_.has_value(); }
  /// Requests of a connection with shed ones that have no answer yet.
  std::size_t unansweredRequests() const { return shed_->unanswered(); }
  bool shedEndsMidRequest() const { return shed_->endsMidRequest(); }
  void countAnswered() { shed_->countAnswered(); }
  /// Reads the next request from the buffered bytes alone.
  RequestReader::Progress readBuffered(boost::system::error_code& error);
  void dropBuffered();

  // ---- Transfer to another process ----

  /// Whether the connection's input can be taken up elsewhere; brings the arrival times up to date.
  bool prepareTransfer();
  const std::string& buffered() const { return reader_.buffered(); }
  /// When the first byte of a request to come arrived; 0 if there is none.
  double bufferedSinceMs() const { return arrivals_.empty() ? 0 : arrivals_.firstMs(); }
  /// Takes up another process's input. sinceMs: as bufferedSinceMs() said there.
  void adopt(std::string_view buffered, double sinceMs);

 private:
  int descriptor() const;
  std::size_t unreadSize() const;
  void bufferOrShed(std::string_view bytes);

  boost::asio::ip::tcp::socket& socket_;
  const core::Clock& clock_;
  RequestReader reader_;
  ArrivalTimes arrivals_;  // of the bytes that are not a taken request, read or not
  std::optional<ShedRequests> shed_;
  std::size_t readAheadThreshold_ = 0;  // bytes that wait for their turn
  std::size_t readAheadAllowance_ = 0;
  std::size_t wakeThreshold_ = 1;  // as the socket was told; 0: not known
};

}  // namespace inference_router::net
