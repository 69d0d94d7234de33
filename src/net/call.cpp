#include "net/call.h"

#include <algorithm>
#include <array>
#include <utility>

#include "net/pool.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

constexpr std::size_t kReadSize = std::size_t{16} * 1024;
// The bytes of a head or chunk follow each other quickly. One that stops midway for this long has
// announced a wrong size.
constexpr double kStallTimeoutMs = 800;
// From the first byte of a request to its last. The head states the client's remaining time as of
// its first byte; a peer that reads the rest much later would run the request after that time.
constexpr double kWriteTimeoutMs = 100;
constexpr std::size_t kMaxTracedHeadBytes = 160;  // long enough to contain the request id

}  // namespace

Call::Call(ConnectionPool& pool,
           Endpoint endpoint,
           std::string head,
           std::shared_ptr<const std::string> body,
           std::shared_ptr<CallSink> sink,
           bool urgent)
    : pool_(pool),
      endpoint_(std::move(endpoint)),
      head_(std::move(head)),
      body_(std::move(body)),
      sink_(std::move(sink)),
      parser_(pool.limits_.maxResponseBytes),
      urgent_(urgent) {}

// ---- Request

void Call::start(std::shared_ptr<Connection> connection, bool isNew) {
  startTimer_.cancel();  // limited the wait for a connection
  connection_ = std::move(connection);
  ++connection_->calls;
  if (isNew)
    connect();
  else
    write();
}

void Call::connect() {
  state_ = State::kConnecting;
  const auto self = shared_from_this();
  startTimer_ = pool_.timers_.schedule(pool_.clock_.nowMs() + pool_.limits_.connectTimeoutMs,
                                       [self] { self->connectTimedOut(); });
  connecting_ = ConnectOperation::start(
      connection_, {pool_.clock_, pool_.timers_, pool_.counters_},
      [self](const boost::system::error_code& error) { self->connected(error); });
}

// A connection attempt that failed on this machine is reported as if the call had only waited for a
// connection: the instance is not at fault.
void Call::connectTimedOut() {
  const auto connecting = connecting_.lock();
  const bool localFault = connecting && connecting->hadLocalFault();
  fail(localFault ? CallFailure::kWithdrawn : CallFailure::kNoConnection);
}

void Call::connected(const boost::system::error_code& error) {
  if (error)
    return fail(CallFailure::kNoConnection);
  startTimer_.cancel();
  boost::system::error_code ignored;
  connection_->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  write();
}

// The call may have waited for a connection, so the sink checks drains and deadlines again.
void Call::write() {
  state_ = State::kWriting;
  const auto sink = sink_;
  const bool ready = sink->ready();
  if (state_ != State::kWriting)
    return;
  if (!ready)
    return withdraw();
  const Fields late = sink->fieldsAsWritten();
  if (!late.empty())
    head_ = withFields(std::move(head_), late);
  sendRequest();
}

void Call::withdraw() {
  const auto connection = std::exchange(connection_, nullptr);
  const auto sink = finish();
  pool_.release(connection);
  sink->failed(CallFailure::kWithdrawn);
}

void Call::sendRequest() {
  const auto self = shared_from_this();
  writeTimer_ = pool_.timers_.schedule(pool_.clock_.nowMs() + kWriteTimeoutMs, [self] {
    if (const auto sending = self->sending_.lock())
      sending->cancel();
  });
  const std::string_view body = body_ ? std::string_view(*body_) : std::string_view();
  sending_ = SendOperation::start(
      {connection_, &connection_->socket}, head_, body,
      [self](const boost::system::error_code& error) { self->requestSent(error); });
}

// A write that sent its last byte within the time limit has succeeded, even if this handler runs
// after the limit.
void Call::requestSent(const boost::system::error_code& error) {
  if (state_ != State::kWriting)
    return;
  writeTimer_.cancel();
  if (error)
    return fail(isLocalFault(error) ? CallFailure::kWithdrawn : CallFailure::kNoConnection);
  state_ = State::kHead;
  trace("written");
  const auto sink = sink_;
  sink->written();
  if (state_ == State::kHead)
    read();
}

// ---- Response

void Call::read() {
  if (reading_ || paused_ || awaitsResources_)
    return;
  if (onPaused_)
    return std::exchange(onPaused_, nullptr)();
  reading_ = true;
  const auto self = shared_from_this();
  if (!pausesAllowed_ && parser_.isMidElement(connection_->buffer))
    stallTimer_ = pool_.timers_.schedule(pool_.clock_.nowMs() + kStallTimeoutMs,
                                         [self] { self->fail(CallFailure::kInvalidResponse); });
  const auto connection = connection_;  // kept alive by the pending operation
  connection->socket.async_read_some(
      connection->buffer.prepare(kReadSize),
      [self, connection](const boost::system::error_code& error, std::size_t bytes) {
        self->received(error, bytes);
      });
}

void Call::received(const boost::system::error_code& error, std::size_t bytes) {
  reading_ = false;
  stallTimer_.cancel();
  if (state_ == State::kFinished)
    return;
  if (error == boost::asio::error::operation_aborted && onPaused_)
    return read();
  if (isLocalFault(error))
    return retryRead();
  if (error)
    return fail(CallFailure::kReset);
  connection_->buffer.commit(bytes);
  parse();
}

// Reads again after this machine lacked memory or buffers; the received bytes are still in the
// socket. Asio takes a read that returned nothing as a sign that the socket is empty, so readiness
// is waited for again before the next read.
void Call::retryRead() {
  awaitsResources_ = true;
  readRetryTimer_ =
      pool_.timers_.schedule(pool_.clock_.nowMs() + kResourceRetryMs, [self = shared_from_this()] {
        if (self->state_ != State::kHead && self->state_ != State::kBody)
          return;
        const auto connection = self->connection_;
        connection->socket.async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [self, connection](const boost::system::error_code&) {
              self->awaitsResources_ = false;
              if (self->state_ == State::kHead || self->state_ == State::kBody)
                self->read();
            });
      });
}

void Call::parse() {
  const auto sink = sink_;
  const int interimBefore = parser_.interimResponses();
  const bool valid = parser_.consume(connection_->buffer);
  if (const int interim = parser_.interimResponses() - interimBefore; interim > 0)
    pool_.counters_["answers.interim"] += static_cast<std::uint64_t>(interim);
  if (!valid)
    return fail(CallFailure::kInvalidResponse);
  if (parser_.hasHead() && !headDelivered_) {
    headDelivered_ = true;
    state_ = State::kBody;
    sink->head(parser_.head());
    if (state_ == State::kFinished)
      return;
  }
  if (headDelivered_ && !deliverBody())
    return;
  if (parser_.isComplete())
    return complete();
  read();
}

// Returns false if the sink has ended the call.
bool Call::deliverBody() {
  const auto sink = sink_;
  const std::string bytes = parser_.takeBody();
  if (!bytes.empty() && !sink->body(bytes))
    paused_ = true;
  return state_ != State::kFinished;
}

void Call::complete() {
  // Unexpected bytes behind this response would be taken for the response to the next request.
  const bool reusable =
      parser_.keepAlive() && connection_->buffer.size() == 0 && connection_->isReusable();
  trace(reusable ? "answered" : "answered, not used again", parser_.status());
  const auto connection = std::exchange(connection_, nullptr);
  const auto sink = finish();
  if (reusable)
    pool_.release(connection);
  else
    pool_.close(connection);
  sink->done();
}

void Call::resume() {
  if (!std::exchange(paused_, false) || state_ != State::kBody)
    return;
  read();
}

bool Call::hasUnread() const {
  if (!connection_)
    return false;
  std::array<char, 1> byte{};
  const IoStatus peeked = peek(connection_->socket.native_handle(), byte).status;
  return peeked == IoStatus::kDone ||
         peeked == IoStatus::kNoResources;  // unknown: there may be unread bytes
}

// ---- Transfer to another process

void Call::pause(std::function<void()> onPaused) {
  if (state_ != State::kBody || paused_)
    return;
  onPaused_ = std::move(onPaused);
  if (!reading_)
    return read();
  boost::system::error_code ignored;
  connection_->socket.cancel(ignored);
}

void Call::unpause() {
  onPaused_ = nullptr;
  if (state_ != State::kBody)
    return;
  // Bytes handed over with the descriptor may complete the response, so they are parsed before more
  // input is awaited.
  if (connection_->buffer.size() > 0 && !reading_)
    parse();
  else
    read();
}

// Only a chunked response marks its own end, so that another process can find it.
std::optional<Call::TransferState> Call::transferState() const {
  if (state_ != State::kBody || reading_ || paused_ || !parser_.isChunked())
    return std::nullopt;
  const auto data = connection_->buffer.data();
  return TransferState{connection_->socket.native_handle(),
                       std::string(static_cast<const char*>(data.data()), data.size()),
                       parser_.chunkRemaining(), parser_.keepAlive()};
}

void Call::adopt(std::shared_ptr<Connection> connection, const TransferState& state) {
  connection_ = std::move(connection);
  state_ = State::kBody;
  parser_.restore(state.chunkRemaining, state.keepAlive);
  headDelivered_ = true;
  auto& buffer = connection_->buffer;
  buffer.commit(boost::asio::buffer_copy(buffer.prepare(state.unread.size()),
                                         boost::asio::buffer(state.unread)));
}

// ---- End

void Call::fail(CallFailure failure) {
  if (state_ == State::kFinished)
    return;
  constexpr std::array kFailureNames{"no connection", "reset", "garbled", "withdrawn"};
  trace(kFailureNames.at(static_cast<std::size_t>(failure)));
  const auto connection = std::exchange(connection_, nullptr);
  const auto sink = finish();
  if (connection)
    pool_.close(connection);
  sink->failed(failure);
}

void Call::abandon() {
  if (state_ == State::kFinished)
    return;
  trace("abandoned");
  const auto connection = std::exchange(connection_, nullptr);
  finish();
  if (connection)
    pool_.close(connection);
}

std::shared_ptr<CallSink> Call::finish() {
  state_ = State::kFinished;
  startTimer_.cancel();
  writeTimer_.cancel();
  stallTimer_.cancel();
  readRetryTimer_.cancel();
  if (const auto connecting = connecting_.lock())
    connecting->cancel();
  return std::move(sink_);
}

void Call::trace(const char* event, int status) const {
  if (!pool_.trace_)
    return;
  std::string line = "connection=" + (connection_ ? std::to_string(connection_->number) : "none") +
                     " call=" + (connection_ ? std::to_string(connection_->calls) : "0") + " " +
                     event + (status != 0 ? " " + std::to_string(status) : "") + ": " +
                     head_.substr(0, kMaxTracedHeadBytes);
  std::replace_if(
      line.begin(), line.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
  pool_.trace_(line);
}

}  // namespace inference_router::net
