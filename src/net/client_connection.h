// One client's connection: reads a request at a time, carries its answer, notices when the client goes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/deadlines.h"
#include "net/arrival_times.h"
#include "net/message.h"

namespace dahliastall::net {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

class ClientConnection;

// What stands behind the listener: a front.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Answers through the connection, now or later. arrivedMs: when the request's first byte came.
  virtual void request(const std::shared_ptr<ClientConnection>& connection, HttpRequest&& request,
                       double arrivedMs) = 0;
  // The client closed, or its connection broke, before the answer was complete.
  virtual void gone(ClientConnection& connection) = 0;
  virtual void drained(ClientConnection& connection) = 0;  // after pass() said to wait
  // What is not to be understood as a request; the connection closes after the answer.
  virtual void reject(ClientConnection& connection, unsigned status, std::string_view why) = 0;
  // The whole answer for a connection that is turned away before it has said anything.
  virtual std::string turnedAway(unsigned status, std::string_view why, double retryAfterMs) const;
};

class ClientConnection final : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { kIdle, kReading, kAnswering, kStreaming, kFlushing, kClosed };

  struct Owner {  // what the listener wants to know
    virtual ~Owner() = default;
    virtual void closed(const std::shared_ptr<ClientConnection>& connection) = 0;
    virtual bool draining() const = 0;
    virtual void asks(ClientConnection&) {}                            // a request of it is open
    virtual void rests(ClientConnection&) {}                           // none is any more
    virtual void identified(ClientConnection&, const std::string&) {}  // a request carried this client's key
  };

  ClientConnection(boost::asio::ip::tcp::socket socket, RequestHandler& handler, Owner& owner,
                   const core::Clock& clock, core::Deadlines& deadlines);

  // For the owner's own use.
  std::uint64_t number = 0;

  void start();
  void identify(const std::string& who) { owner_.identified(*this, who); }
  State state() const { return state_; }
  double idleSinceMs() const { return idleSince_; }
  // Whether the client is still there, by what its machine has said up to this moment: its close may have
  // come and its handler not have run yet, or stand behind requests that are not read before their turn.
  bool present() const;
  // Whether it may be closed to make room: no request of it is open. Those come first that never sent a whole
  // one, though each gets a moment for it.
  enum class Room { kNone, kIdle, kNeverAsked };
  Room room() const;

  // A stream under way, as it passes from one process to another.
  struct Rest {
    int descriptor = -1;
    std::string ahead;       // read of the next requests
    double aheadCameMs = 0;  // its first byte; 0: not known, or there is none
    bool keepAlive = true;
  };
  std::optional<Rest> rest();     // nothing while anything waits to be written
  void leave();                   // lets go of a connection that another process has now
  void takeUp(const Rest& rest);  // instead of start()

  void answer(unsigned status, Fields fields, std::string_view body);
  void beginStream(Fields fields);
  bool pass(std::string_view part);  // false: enough is waiting to be written, until drained()
  void endStream();
  void breakOff();   // closes without a last chunk
  void closeIdle();  // closes between two requests, unless one has come already or may be about to
  void giveWay();    // closes what room() named
  void evict();      // closes unless a request is open

 private:
  void read();
  void onRead(const boost::system::error_code& error, std::size_t parsed);
  double cameMs() const;
  void refuseInput(const boost::system::error_code& error);
  void watch();
  void readAhead();
  void watchByClock();
  void dropAhead();
  void readKept();
  void expire(double afterMs);
  void put(std::string_view bytes);
  void flush();
  void finished();
  void part();
  void partOnceRead();
  void linger();
  void shut();
  void leaveIfQuiet();

  boost::asio::ip::tcp::socket socket_;
  RequestHandler& handler_;
  Owner& owner_;
  const core::Clock& clock_;
  core::Deadlines& deadlines_;
  boost::beast::flat_buffer buffer_;
  ArrivalTimes aheadCame_;  // of what the buffer holds between two requests
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string waiting_, writing_;
  std::optional<core::Deadlines::Key> slow_, look_;
  State state_ = State::kIdle;
  double connected_ = 0, idleSince_ = 0, firstByte_ = 0;
  std::size_t dropped_ = 0;  // bytes read after a refusal
  std::size_t mayDrop_ = 0;  // of what comes behind the kept requests, until the clock allows more
  bool keepAlive_ = true, writes_ = false, held_ = false, watching_ = false, asked_ = false,
       lingering_ = false, leaving_ = false,
       overflowed_ = false;  // bytes behind those that are kept were dropped
};

}  // namespace dahliastall::net
