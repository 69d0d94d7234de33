// Connections to instances: bounded, kept alive, retired well before the other side would close
// them. A call is one request on one connection; nothing is ever sent again by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admission/descriptor_budget.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/endpoint.h"
#include "net/message.h"
#include "net/send_operation.h"

namespace inference_router::net {

using ResponseHead = boost::beast::http::response_header<>;

enum class CallFailure {
  kNoConnection,  // nothing of it can have run: the request's last byte was not written
                  // and the instance, or the way to it, is at fault
  kReset,         // broken after the request was written
  kGarbled,       // what came after the request was written cannot be read, or stops midway
  kWithdrawn  // nothing was sent and the instance has no part in it: the sink took it back, or this
              // machine had no connection to give
};

// Who made a call. Called in this order: ready, fieldsAsWritten, written, head, body..., then done
// or failed; never after Call::abandon().
class CallSink {
 public:
  virtual ~CallSink() = default;
  virtual bool ready() { return true; }  // a connection is there; false takes the call back
  // Further fields of the request's head whose values depend on when it goes out: asked for right
  // before its first byte is written.
  virtual Fields fieldsAsWritten() { return {}; }
  virtual void written() {}  // the request's last byte is out
  virtual void head(const ResponseHead&) {}
  virtual bool body(std::string_view) { return true; }  // false: read no more until Call::resume()
  virtual void done() = 0;                              // the answer is whole
  virtual void failed(CallFailure why) = 0;
};

class ConnectionPool;

struct Connection {  // one connection
  explicit Connection(boost::asio::io_context& io) : socket(io) {}
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Endpoint to;
  std::optional<core::TimerQueue::Key> retire;
  double idleSinceMs = 0;
  std::uint64_t number = 0;  // of the pool's connections, from one
  int calls = 0;             // that it has carried, the one under way included
};

class Call final : public std::enable_shared_from_this<Call> {
 public:
  enum class State { kWaiting, kConnecting, kWriting, kHead, kBody, kOver };

  Call(ConnectionPool& pool,
       const Endpoint& to,
       std::string head,
       std::shared_ptr<const std::string> body,
       std::shared_ptr<CallSink> sink,
       bool urgent = false);

  State state() const { return state_; }
  void abandon();  // closes the connection; the sink hears no more
  // Whether its connection carried nothing before: HTTP/1.1 does not tell whose answer one on a
  // used one is.
  bool first() const { return connection_ && connection_->calls == 1; }
  bool unread() const;  // something has come that the sink has not been given
  void resume();
  void garbled() { fail(CallFailure::kGarbled); }  // the sink cannot read the body

  // An answer under way, as it passes from one process to another.
  struct TransferState {
    int descriptor = -1;
    std::string unread;           // come, and not parsed yet
    std::uint64_t chunkLeft = 0;  // of the chunk under way
    bool keepAlive = true;
  };
  // Reads no more; quiet is called once no operation is under way, and never if the call ends
  // before.
  void pause(std::function<void()> quiet);
  void unpause();  // after pause(), as if nothing had been
  std::optional<TransferState> rest()
      const;  // after pause(); nothing if it cannot be taken up elsewhere

 private:
  friend class ConnectionPool;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void begin(std::shared_ptr<Connection> connection, bool fresh);
  void connect();
  void dial();
  void dialed(const boost::system::error_code& error);
  void awaitDial();
  void dialAgain();
  void connected();
  void write();
  void wrote(const boost::system::error_code& error);
  void read();
  void readLater();
  void expectAnswer();
  void parse();
  bool skipInterim();
  void adopt(const TransferState& rest);
  bool midway() const;
  void complete();
  void fail(CallFailure why);
  std::shared_ptr<CallSink> finish();
  void tell(const char* what, int status = 0) const;

  ConnectionPool& pool_;
  Endpoint to_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<CallSink> sink_;
  std::shared_ptr<Connection> connection_;
  std::optional<Parser> parser_;
  std::function<void(std::uint64_t, boost::beast::string_view, boost::beast::error_code&)> onChunk_;
  std::optional<core::TimerQueue::Key> dial_, dialRetry_, write_, stuck_, readRetry_;
  std::weak_ptr<SendOperation> sending_;
  std::function<void()> quiet_;
  std::uint64_t announced_ = 0, received_ = 0;  // bytes of chunks
  int interim_ = 0;
  State state_ = State::kWaiting;
  bool paused_ = false, headSeen_ = false, reading_ = false, urgent_ = false;
  bool localFault_ = false;  // it has cost a part of the dial's time
};

class ConnectionPool {
 public:
  struct Limits {
    std::size_t connections;                 // open at a time, idle ones counted
    double dialMs;                           // to come up
    double idleMs;                           // kept unused at most
    std::uint64_t answerBytes = UINT64_MAX;  // of a body; also what a chunk may claim
  };

  ConnectionPool(boost::asio::io_context& io,
                 const core::Clock& clock,
                 core::TimerQueue& timers,
                 core::Counters& counters,
                 Limits limits);
  ~ConnectionPool();

  // kFirst: goes ahead of all that wait for a connection, and may use the reserve.
  enum class Urgency { kInTurn, kFirst };
  // A call that has not got a connection within the time for one to come up is withdrawn: to
  // whoever counts when it was sent, waiting here is the same as a dial that hangs.
  std::shared_ptr<Call> call(const Endpoint& to,
                             std::string head,
                             std::shared_ptr<const std::string> body,
                             std::shared_ptr<CallSink> sink,
                             Urgency urgency = Urgency::kInTurn,
                             double afterMs = 0);  // it stands nowhere in line until then
  // Takes up what another process left off; the descriptor is this one's now. Goes on with
  // unpause().
  std::shared_ptr<Call> adopt(const Endpoint& from,
                              const Call::TransferState& rest,
                              std::shared_ptr<CallSink> sink);
  void dropIdle(const Endpoint& to);
  void dialWithin(double ms) { limits_.dialMs = ms; }
  // Where its descriptors are accounted for; what is open already is not.
  void accountTo(admission::DescriptorBudget& descriptorBudget, admission::Account account) {
    descriptorBudget_ = &descriptorBudget;
    account_ = account;
  }
  // Another cap from now on; idle connections above it close, busy ones end first.
  void capAt(std::size_t connections);
  bool hasIdle(const Endpoint& to) const;
  // Sees each call written, answered, failed or abandoned, with its connection, a line each.
  void onWire(std::function<void(const std::string&)> line) { wire_ = std::move(line); }
  std::size_t size() const { return open_; }

 private:
  friend class Call;
  using Idle = std::list<std::shared_ptr<Connection>>;  // in the order they fell idle

  void enter(const std::shared_ptr<Call>& call);
  bool admit(const std::shared_ptr<Call>& call);
  // A part of the connections is kept for what is urgent; none where there are too few to share.
  std::size_t reserve() const { return limits_.connections / 16; }
  bool room(Urgency urgency) const {
    const std::size_t kept = urgency == Urgency::kFirst ? 0 : reserve();
    return open_ + kept < limits_.connections &&
           (descriptorBudget_ == nullptr || descriptorBudget_->may(account_));
  }
  std::shared_ptr<Connection> takeIdle(const Endpoint& to);
  void give(std::shared_ptr<Connection> connection);
  void close(std::shared_ptr<Connection>
                 connection);  // by value: the caller's may stand in the list it leaves
  void forgetIdle(const std::shared_ptr<Connection>& connection);
  void serveWaiting();

  boost::asio::io_context& io_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  Limits limits_;
  Idle idle_;
  std::deque<std::shared_ptr<Call>> waiting_;  // the urgent ones first
  admission::DescriptorBudget* descriptorBudget_ = nullptr;
  admission::Account account_ = admission::Account::kInstances;
  std::function<void(const std::string&)> wire_;
  std::uint64_t connections_ = 0;
  std::size_t open_ = 0;
  bool serving_ = false;
};

}  // namespace inference_router::net
