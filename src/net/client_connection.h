// One client's connection: reads a request at a time, carries its answer, notices when the client
// goes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "net/arrival_times.h"
#include "net/message.h"
#include "net/request_reader.h"
#include "net/shed_requests.h"

namespace inference_router::net {

class ClientConnection;

// What stands behind the listener: a front.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Answers through the connection, now or later. arrivedMs: when the request's first byte came.
  virtual void request(const std::shared_ptr<ClientConnection>& connection,
                       HttpRequest&& request,
                       double arrivedMs) = 0;
  // The client closed, or its connection broke, before the answer was complete.
  virtual void gone(ClientConnection& connection) = 0;
  virtual void drained(ClientConnection& connection) = 0;  // after pass() said to wait
  // What is not to be understood as a request; the connection closes after the answer.
  virtual void reject(ClientConnection& connection, unsigned status, std::string_view why) = 0;
  // The whole answer for a connection that is turned away before its request was taken.
  virtual std::string turnedAway(unsigned status, std::string_view why, double retryAfterMs) const;
};

class ClientConnection final : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { kIdle, kReading, kAnswering, kStreaming, kFlushing, kClosed };

  struct Owner {  // what the listener wants to know
    virtual ~Owner() = default;
    virtual void closed(const std::shared_ptr<ClientConnection>& connection) = 0;
    virtual bool draining() const = 0;
    virtual void answerCut() {}               // an answer before a close could not be written whole
    virtual void asks(ClientConnection&) {}   // a request of it is open
    virtual void rests(ClientConnection&) {}  // none is any more
    virtual void identified(ClientConnection&, const std::string&) {
    }  // a request carried this client's key
  };

  ClientConnection(boost::asio::ip::tcp::socket socket,
                   RequestHandler& handler,
                   Owner& owner,
                   const core::Clock& clock,
                   core::TimerQueue& timers);

  // For the owner's own use.
  std::uint64_t number = 0;

  void start();
  void identify(const std::string& who) { owner_.identified(*this, who); }
  State state() const { return state_; }
  double idleSinceMs() const { return idleSince_; }
  // Whether the client is still there, by what its machine has said up to this moment: its close
  // may have come and its handler not have run yet, or stand behind requests that are not read
  // before their turn.
  bool present() const;
  // Whether it may be closed to make room: no request of it is open. Those come first that never
  // sent a whole one, though each gets a moment for it.
  enum class Room { kNone, kIdle, kNeverAsked };
  Room room() const;

  // A stream under way, as it passes from one process to another.
  struct TransferState {
    int descriptor = -1;
    std::string
        ahead;  // read of the next requests; mostly empty, as they stand unread until their turn
    double aheadCameMs = 0;  // the first byte of these, read or not; 0: not known, or there is none
    bool keepAlive = true;
  };
  std::optional<TransferState> rest();    // nothing while anything waits to be written
  void leave();                           // lets go of a connection that another process has now
  void adopt(const TransferState& rest);  // instead of start()

  void answer(unsigned status, Fields fields, std::string_view body);
  void beginStream(Fields fields);
  bool pass(std::string_view part);  // false: enough is waiting to be written, until drained()
  void endStream();
  void breakOff();   // closes without a last chunk
  void closeIdle();  // closes between two requests, unless one has come already or may be about to
  // Closes what room() named; false if a request has come on it meanwhile. Part of a request gets
  // an answer.
  bool giveWay();
  void
  evict();  // closes unless a request is open; one that has come, or part of one, gets an answer

 private:
  void read();
  void awaitInput();
  void onInput();
  void retryInput();
  void startRequest();
  void takeRequest();
  void refuseShed();
  void readKept();
  void turnAway();
  bool hasUnread() const;
  std::size_t unread() const;
  bool hasNextRequest() const;
  int descriptor() const;
  void noteArrivals();
  void reserveRoom();
  void wakeAt(std::size_t unread);
  bool isLastAnswer();
  void refuseInput(const boost::system::error_code& error);
  bool answerIsUnderWay() const;
  void watch();
  void onAhead();
  bool readsAhead() const;
  void readAhead();
  void keepOrShed(std::string_view bytes);
  void watchByClock();
  void expire(double afterMs);
  void put(std::string_view bytes);
  void flush();
  void flushed(const boost::system::error_code& error);
  void finished();
  void part();
  void partIfQuiet();
  void linger();
  bool dropInput();
  void shut();

  boost::asio::ip::tcp::socket socket_;
  RequestHandler& handler_;
  Owner& owner_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  RequestReader reader_;
  ArrivalTimes came_;                 // of the bytes that are not a request yet, read or not
  std::optional<ShedRequests> shed_;  // once more was sent ahead than is kept
  std::string waiting_, writing_;
  std::optional<core::TimerQueue::Key> slow_, look_;
  State state_ = State::kIdle;
  double connected_ = 0, idleSince_ = 0, firstByte_ = 0;
  std::size_t dropped_ = 0;        // bytes read after a refusal
  std::size_t readAheadFrom_ = 0;  // so many bytes that wait for their turn
  std::size_t mayReadAhead_ = 0;   // until the clock allows more
  std::size_t wokenAt_ = 1;        // so many bytes unread, as the socket was told; 0: not known
  int servedWhileClosing_ = 0;
  bool keepAlive_ = true, writes_ = false, held_ = false, watching_ = false, asked_ = false,
       lingering_ = false, refused_ = false;
};

}  // namespace inference_router::net
