#include "net/pool.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "net/socket_calls.h"

namespace inference_router::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::uint32_t kAnswerHeadLimit = 32 * 1024;
constexpr int kInterimLimit = 8;  // 1xx heads before an answer
// A head or chunk comes at once or in quick pieces: one that stops midway this long has a wrong
// size.
constexpr double kStuckMs = 800;
// A connection rests so long before its next request: bytes that do not belong to the answer just
// read come right behind it, and would be taken for the answer to that request.
constexpr double kRestMs = 4;
// For a request's last byte to follow its first. Its head tells how long its client waits as of
// that moment, and a peer that does not read the rest would run it with that time long gone.
constexpr double kWriteMs = 100;
constexpr std::size_t kTold = 160;  // of a message's head, with the request's id in it

// Whether bytes that were written still stand in this machine because the peer does not read them.
bool hasUnsent(int descriptor) {
  int unsent = 0;
  return ::ioctl(descriptor, SIOCOUTQNSD, &unsent) == 0 && unsent > 0;
}

// Whether an idle connection can carry a request: nothing came on it, its end neither, and what is
// written on it goes out at once.
bool quiet(boost::asio::ip::tcp::socket& socket) {
  std::array<char, 1> byte{};
  return peek(socket.native_handle(), byte).status == IoStatus::kWouldBlock &&
         !hasUnsent(socket.native_handle());
}

// What became of a connect() that went on by itself.
boost::system::error_code pendingError(boost::asio::ip::tcp::socket& socket) {
  int pending = 0;
  socklen_t size = sizeof pending;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size) != 0)
    pending = errno;
  return {pending, boost::system::system_category()};
}

}  // namespace

// ---- Call
// ------------------------------------------------------------------------------------------

Call::Call(ConnectionPool& pool,
           const Endpoint& to,
           std::string head,
           std::shared_ptr<const std::string> body,
           std::shared_ptr<CallSink> sink,
           bool urgent)
    : pool_(pool),
      to_(to),
      head_(std::move(head)),
      body_(std::move(body)),
      sink_(std::move(sink)),
      urgent_(urgent) {}

void Call::begin(std::shared_ptr<Connection> connection, bool fresh) {
  pool_.timers_.cancel(dial_);  // of the time in line
  connection_ = std::move(connection);
  ++connection_->calls;
  expectAnswer();
  if (fresh)
    connect();
  else
    write();
}

void Call::expectAnswer() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kAnswerHeadLimit);
  // Never boost::none: with it Boost 1.74 fails a body of known length that comes apart from its
  // head. A chunk that claims more than the limit is refused by its size line.
  parser_->body_limit(pool_.limits_.answerBytes);
  onChunk_ = [this](std::uint64_t size, boost::beast::string_view, boost::beast::error_code&) {
    announced_ += size;
  };
  parser_->on_chunk_header(onChunk_);
}

void Call::connect() {
  state_ = State::kConnecting;
  const auto self = shared_from_this();
  dial_ = pool_.timers_.add(pool_.clock_.nowMs() + pool_.limits_.dialMs, [self] {
    self->dial_.reset();
    self->fail(self->localFault_ ? CallFailure::kWithdrawn : CallFailure::kNoConnection);
  });
  dial();
}

void Call::dial() {
  ++pool_.counters_["links.opened"];
  connection_->socket.async_connect(
      to_,
      [self = shared_from_this()](const boost::system::error_code& error) { self->dialed(error); });
}

// An interrupted connect() goes on by itself. What this machine could not begin is tried again
// while there is time for it, as if the call waited in line for a connection.
void Call::dialed(const boost::system::error_code& error) {
  if (state_ != State::kConnecting)
    return;
  if (error == boost::asio::error::interrupted)
    return awaitDial();
  if (isLocalFault(error))
    return dialAgain();
  if (error)
    return fail(CallFailure::kNoConnection);
  connected();
}

void Call::awaitDial() {
  const auto self = shared_from_this();
  const auto connection = connection_;
  connection->socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                                [self, connection](const boost::system::error_code& error) {
                                  if (self->state_ != State::kConnecting)
                                    return;
                                  self->dialed(error ? error : pendingError(connection->socket));
                                });
}

void Call::dialAgain() {
  ++pool_.counters_["links.local_faults"];
  localFault_ = true;
  boost::system::error_code ignored;
  connection_->socket.close(ignored);
  dialRetry_ =
      pool_.timers_.add(pool_.clock_.nowMs() + kResourceRetryMs, [self = shared_from_this()] {
        self->dialRetry_.reset();
        self->dial();
      });
}

void Call::connected() {
  pool_.timers_.cancel(dial_);
  boost::system::error_code ignored;
  connection_->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  write();
}

void Call::write() {
  state_ = State::kWriting;
  // Time has passed if a connection had to be waited for: the sink looks at drains and deadlines
  // once more.
  const auto keep = sink_;
  if (!keep->ready()) {
    if (state_ != State::kWriting)
      return;
    const auto connection = std::exchange(connection_, nullptr);
    const auto sink = finish();
    pool_.give(connection);
    return sink->failed(CallFailure::kWithdrawn);
  }
  if (state_ != State::kWriting)
    return;
  const Fields late = keep->fieldsAsWritten();
  if (!late.empty())
    head_ = withFields(std::move(head_), late);
  const auto self = shared_from_this();
  write_ = pool_.timers_.add(pool_.clock_.nowMs() + kWriteMs, [self] {
    self->write_.reset();
    if (const auto sending = self->sending_.lock())
      sending->cancel();
  });
  const std::string_view body = body_ ? std::string_view(*body_) : std::string_view();
  sending_ =
      SendOperation::start({connection_, &connection_->socket}, head_, body,
                           [self](const boost::system::error_code& error) { self->wrote(error); });
}

// A write whose last byte was out by its time limit is whole, although this has still to run then.
void Call::wrote(const boost::system::error_code& error) {
  if (state_ != State::kWriting)
    return;
  pool_.timers_.cancel(write_);
  if (error)
    return fail(isLocalFault(error) ? CallFailure::kWithdrawn : CallFailure::kNoConnection);
  state_ = State::kHead;
  tell("written");
  const auto keep = sink_;
  keep->written();
  if (state_ == State::kHead)
    read();
}

void Call::read() {
  if (reading_ || paused_ || readRetry_)
    return;
  if (quiet_)
    return std::exchange(quiet_, nullptr)();
  reading_ = true;
  const auto self = shared_from_this();
  if (midway())
    stuck_ = pool_.timers_.add(pool_.clock_.nowMs() + kStuckMs, [self] {
      self->stuck_.reset();
      self->fail(CallFailure::kGarbled);
    });
  const auto connection = connection_;  // lives as long as the operation on it
  connection->socket.async_read_some(
      connection->buffer.prepare(kReadSize),
      [self, connection](const boost::system::error_code& error, std::size_t count) {
        self->reading_ = false;
        self->pool_.timers_.cancel(self->stuck_);
        if (self->state_ == State::kOver)
          return;
        if (error == boost::asio::error::operation_aborted && self->quiet_)
          return self->read();
        if (isLocalFault(error))
          return self->readLater();
        if (error)
          return self->fail(CallFailure::kReset);
        connection->buffer.commit(count);
        self->parse();
      });
}

// This machine lacked memory or buffers: what has come is still there. Asio takes a read that moved
// nothing for a sign that nothing is there; readiness, asked for anew, tells it otherwise.
void Call::readLater() {
  readRetry_ =
      pool_.timers_.add(pool_.clock_.nowMs() + kResourceRetryMs, [self = shared_from_this()] {
        if (self->state_ != State::kHead && self->state_ != State::kBody)
          return;
        const auto connection = self->connection_;
        connection->socket.async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [self, connection](const boost::system::error_code&) {
              self->readRetry_.reset();
              if (self->state_ == State::kHead || self->state_ == State::kBody)
                self->read();
            });
      });
}

// Whether the answer has stopped inside of something that is sent in one piece. The parser leaves
// the end of a chunk's data to the next size line, so that alone is no piece.
bool Call::midway() const {
  const auto rest = connection_->buffer.data();
  const std::string_view unread(static_cast<const char*>(rest.data()), rest.size());
  if (!parser_->is_header_done() || !parser_->chunked())
    return !unread.empty() || (headSeen_ && parser_->content_length_remaining().value_or(0) > 0);
  return announced_ > received_ || (!unread.empty() && unread != "\r\n");
}

// Guards against 100, 102 or 103 ahead of an answer being taken for it.
bool Call::skipInterim() {
  if (!parser_->is_header_done() || parser_->get().result_int() / 100 != 1)
    return false;
  ++pool_.counters_["answers.interim"];
  ++interim_;
  expectAnswer();
  return true;
}

void Call::parse() {
  const auto keep = sink_;
  boost::system::error_code error;
  while (connection_->buffer.size() > 0 && !parser_->is_done()) {
    const std::size_t used = parser_->put(connection_->buffer.data(), error);
    connection_->buffer.consume(used);
    if (error == http::error::need_more)
      break;
    if (error)
      return fail(CallFailure::kGarbled);  // no HTTP: nothing that follows can be trusted
    if (skipInterim()) {
      if (interim_ > kInterimLimit)
        return fail(CallFailure::kGarbled);
      continue;
    }
    if (used == 0)
      break;
  }
  if (parser_->is_header_done() && !headSeen_) {
    headSeen_ = true;
    state_ = State::kBody;
    keep->head(parser_->get().base());
    if (state_ == State::kOver)
      return;
  }
  if (headSeen_) {
    const std::string part = std::exchange(parser_->get().body(), {});
    if (parser_->chunked())
      received_ += part.size();
    if (!part.empty() && !keep->body(part))
      paused_ = true;
    if (state_ == State::kOver)
      return;
  }
  if (parser_->is_done())
    return complete();
  read();
}

void Call::complete() {
  // Guards the next request on this connection against a second answer right behind this one.
  const bool again =
      parser_->keep_alive() && connection_->buffer.size() == 0 && quiet(connection_->socket);
  tell(again ? "answered" : "answered, not used again", parser_->get().result_int());
  const auto connection = std::exchange(connection_, nullptr);
  const auto sink = finish();
  if (again)
    pool_.give(connection);
  else
    pool_.close(connection);
  sink->done();
}

void Call::pause(std::function<void()> quiet) {
  if (state_ != State::kBody || paused_)
    return;
  quiet_ = std::move(quiet);
  if (!reading_)
    return read();
  boost::system::error_code ignored;
  connection_->socket.cancel(ignored);
}

void Call::unpause() {
  quiet_ = nullptr;
  if (state_ != State::kBody)
    return;
  // Bytes that came with the descriptor may be all there is, so they are parsed before any more is
  // waited for.
  if (connection_->buffer.size() > 0 && !reading_)
    parse();
  else
    read();
}

// Only a chunked answer says by itself where it ends, whoever reads it.
std::optional<Call::TransferState> Call::rest() const {
  if (state_ != State::kBody || reading_ || paused_ || !parser_->chunked())
    return std::nullopt;
  const auto data = connection_->buffer.data();
  return TransferState{connection_->socket.native_handle(),
                       std::string(static_cast<const char*>(data.data()), data.size()),
                       announced_ - received_, parser_->keep_alive()};
}

// Brings a parser to where the other process's stood: behind a head, within a chunk of which so
// much is left. One byte more stands before it, since a parser within a chunk reads the end of the
// last one first.
void Call::adopt(const TransferState& rest) {
  state_ = State::kBody;
  expectAnswer();
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%llx",
                static_cast<unsigned long long>(rest.chunkLeft) + 1);
  const std::string before = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n") +
                             (rest.keepAlive ? "" : "Connection: close\r\n") + "\r\n" +
                             size.data() + "\r\nx";
  boost::system::error_code error;
  for (std::string_view left = before; !left.empty() && !error;) {
    const std::size_t used = parser_->put(boost::asio::buffer(left), error);
    if (error == http::error::need_more)
      error = {};
    if (used == 0)
      break;
    left.remove_prefix(used);
  }
  headSeen_ = true;
  received_ = parser_->get().body().size();
  parser_->get().body().clear();
  auto& buffer = connection_->buffer;
  buffer.commit(boost::asio::buffer_copy(buffer.prepare(rest.unread.size()),
                                         boost::asio::buffer(rest.unread)));
}

void Call::resume() {
  if (!std::exchange(paused_, false) || state_ != State::kBody)
    return;
  read();
}

void Call::fail(CallFailure why) {
  if (state_ == State::kOver)
    return;
  constexpr std::array kWhy{"no connection", "reset", "garbled", "withdrawn"};
  tell(kWhy.at(static_cast<std::size_t>(why)));
  const auto connection = std::exchange(connection_, nullptr);
  const auto sink = finish();
  if (connection)
    pool_.close(connection);
  sink->failed(why);
}

void Call::abandon() {
  if (state_ == State::kOver)
    return;
  tell("abandoned");
  const auto connection = std::exchange(connection_, nullptr);
  finish();
  if (connection)
    pool_.close(connection);
}

bool Call::unread() const {
  if (!connection_)
    return false;
  std::array<char, 1> byte{};
  const IoStatus seen = peek(connection_->socket.native_handle(), byte).status;
  return seen == IoStatus::kDone ||
         seen == IoStatus::kNoResources;  // it may have, where nobody can look
}

void Call::tell(const char* what, int status) const {
  if (!pool_.wire_)
    return;
  std::string line = "connection=" + (connection_ ? std::to_string(connection_->number) : "none") +
                     " call=" + (connection_ ? std::to_string(connection_->calls) : "0") + " " +
                     what + (status != 0 ? " " + std::to_string(status) : "") + ": " +
                     head_.substr(0, kTold);
  std::replace_if(
      line.begin(), line.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
  pool_.wire_(line);
}

std::shared_ptr<CallSink> Call::finish() {
  state_ = State::kOver;
  pool_.timers_.cancel(dial_);
  pool_.timers_.cancel(dialRetry_);
  pool_.timers_.cancel(write_);
  pool_.timers_.cancel(stuck_);
  pool_.timers_.cancel(readRetry_);
  return std::move(sink_);
}

// ---- ConnectionPool
// ------------------------------------------------------------------------------------------

ConnectionPool::ConnectionPool(boost::asio::io_context& io,
                               const core::Clock& clock,
                               core::TimerQueue& timers,
                               core::Counters& counters,
                               Limits limits)
    : io_(io), clock_(clock), timers_(timers), counters_(counters), limits_(limits) {}

ConnectionPool::~ConnectionPool() {
  for (const auto& connection : idle_)
    timers_.cancel(connection->retire);
}

std::shared_ptr<Call> ConnectionPool::call(const Endpoint& to,
                                           std::string head,
                                           std::shared_ptr<const std::string> body,
                                           std::shared_ptr<CallSink> sink,
                                           Urgency urgency,
                                           double afterMs) {
  const bool urgent = urgency == Urgency::kFirst;
  const auto call =
      std::make_shared<Call>(*this, to, std::move(head), std::move(body), std::move(sink), urgent);
  if (clock_.nowMs() >= afterMs)
    enter(call);
  else
    call->dial_ = timers_.add(afterMs, [this, call] {
      call->dial_.reset();
      enter(call);
    });
  return call;
}

void ConnectionPool::enter(const std::shared_ptr<Call>& call) {
  if (admit(call))
    return;
  ++counters_["calls.waited"];
  const auto behind = [](const auto& other) { return !other->urgent_; };
  waiting_.insert(
      call->urgent_ ? std::find_if(waiting_.begin(), waiting_.end(), behind) : waiting_.end(),
      call);
  // The caller may take it out of the line before by abandon().
  call->dial_ = timers_.add(clock_.nowMs() + limits_.dialMs, [call] {
    call->dial_.reset();
    call->fail(CallFailure::kWithdrawn);
  });
}

bool ConnectionPool::admit(const std::shared_ptr<Call>& call) {
  if (auto connection = takeIdle(call->to_)) {
    call->begin(std::move(connection), false);
    return true;
  }
  const Urgency urgency = call->urgent_ ? Urgency::kFirst : Urgency::kInTurn;
  if (!room(urgency) && !idle_.empty())
    close(idle_.front());
  if (!room(urgency))
    return false;
  auto connection = std::make_shared<Connection>(io_);
  connection->to = call->to_;
  connection->number = ++connections_;
  ++open_;
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->take(account_);
  call->begin(std::move(connection), true);
  return true;
}

std::shared_ptr<Call> ConnectionPool::adopt(const Endpoint& from,
                                            const Call::TransferState& rest,
                                            std::shared_ptr<CallSink> sink) {
  auto connection = std::make_shared<Connection>(io_);
  boost::system::error_code error;
  connection->socket.assign(from.protocol(), rest.descriptor, error);
  if (error) {
    ::close(rest.descriptor);
    return nullptr;
  }
  connection->to = from;
  connection->number = ++connections_;
  ++open_;
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->force(account_);
  const auto call = std::make_shared<Call>(*this, from, std::string(), nullptr, std::move(sink));
  call->connection_ = std::move(connection);
  call->adopt(rest);
  return call;
}

// The one used last: it is the least likely to be closed, and the others can age and go.
std::shared_ptr<Connection> ConnectionPool::takeIdle(const Endpoint& to) {
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if ((*it)->to != to || clock_.nowMs() < (*it)->idleSinceMs + kRestMs)
      continue;
    const auto connection = *it;
    it = idle_.erase(it);
    timers_.cancel(connection->retire);
    if (quiet(connection->socket)) {
      boost::system::error_code ignored;
      connection->socket.cancel(ignored);  // the watch for its end
      return connection;
    }
    close(connection);
    it = idle_.end();
  }
  return nullptr;
}

bool ConnectionPool::hasIdle(const Endpoint& to) const {
  return std::any_of(idle_.begin(), idle_.end(),
                     [&](const auto& connection) { return connection->to == to; });
}

void ConnectionPool::give(std::shared_ptr<Connection> connection) {
  connection->idleSinceMs = clock_.nowMs();
  idle_.push_back(connection);
  connection->retire =
      timers_.add(clock_.nowMs() + limits_.idleMs, [this, connection] { close(connection); });
  connection->socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [this, weak = std::weak_ptr(connection)](const boost::system::error_code& error) {
        if (error)
          return;
        if (const auto idle = weak.lock(); idle && idle->retire)
          close(idle);
      });
  serveWaiting();
}

void ConnectionPool::close(std::shared_ptr<Connection> connection) {
  if (connection->to == Endpoint())
    return;  // closed before
  idle_.remove(connection);
  timers_.cancel(connection->retire);
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connection->to = Endpoint();
  --open_;
  if (descriptorBudget_ != nullptr)
    descriptorBudget_->give(account_);
  serveWaiting();
}

void ConnectionPool::dropIdle(const Endpoint& to) {
  for (const auto& connection : std::vector(idle_.begin(), idle_.end()))
    if (connection->to == to)
      close(connection);
}

void ConnectionPool::capAt(std::size_t connections) {
  limits_.connections = connections;
  while (open_ > connections && !idle_.empty())
    close(idle_.front());
  serveWaiting();
}

// Later, not from within whoever gave a connection back.
void ConnectionPool::serveWaiting() {
  if (serving_ || waiting_.empty())
    return;
  serving_ = true;
  boost::asio::post(io_, [this] {
    serving_ = false;
    while (!waiting_.empty()) {
      const auto call = waiting_.front();
      if (call->state() == Call::State::kWaiting && !admit(call))
        return;
      waiting_.pop_front();
    }
  });
}

}  // namespace inference_router::net
