#include "net/client_connection.h"

#include <boost/beast/http/error.hpp>
#include <utility>

#include "net/input_refusal.h"
#include "net/last_answer.h"
#include "net/request_framing.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace http = boost::beast::http;

namespace {

// A client that sends no valid request must get an error or a close within 3 s of connecting, or
// within 6 s if it sends 60 MB.
// From connecting to the end of the first request.
constexpr double kFirstRequestTimeoutMs = 2'000;
// From the first to the last byte of a later request.
constexpr double kNextRequestTimeoutMs = 2'000;
// Between two requests: some clients never close their connection.
constexpr double kIdleTimeoutMs = 5'000;
// For a request that begins at a timeout or while draining.
constexpr double kFinalRequestTimeoutMs = 500;
// Age of a new connection before it can be evicted.
constexpr double kMinEvictionAgeMs = 100;
// For pending output after an abort; 5 s are allowed.
constexpr double kAbortFlushTimeoutMs = 2'000;
// Retry-After of evicted clients.
constexpr double kEvictionRetryAfterMs = 1'000;
// Output in memory at which the stream to a slow client is paused.
constexpr std::size_t kMaxPendingBytes = std::size_t{64} * 1024;
// Pipelined requests that are still served on a connection that is to close. A client that never
// stops sending must not keep the process alive.
constexpr int kMaxServedWhileDraining = 64;
// The same for those that are refused because other clients wait for a connection.
constexpr int kMaxRefusedWhileClientsWait = 16;

}  // namespace

ClientConnection::ClientConnection(boost::asio::ip::tcp::socket socket,
                                   RequestHandler& handler,
                                   Owner& owner,
                                   const core::Clock& clock,
                                   core::TimerQueue& timers)
    : socket_(std::move(socket)),
      handler_(handler),
      owner_(owner),
      clock_(clock),
      timers_(timers),
      input_(socket_, clock, owner.connectionLimits()),
      output_(
          socket_,
          clock,
          timers,
          {[this](const boost::system::error_code& error) { written(error); }, [this] { close(); }},
          owner.connectionLimits().memory),
      // Requests behind a last answer are not served.
      peerWatch_(
          socket_,
          input_,
          clock,
          timers,
          {[this] { return isAnswering(); }, [this] { return keepAlive_; }, [this] { close(); }}) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  input_.reserveReceiveBuffer();
  if (const auto sendBuffer = owner_.connectionLimits().sendBufferBytes)
    socket_.set_option(boost::asio::socket_base::send_buffer_size(static_cast<int>(*sendBuffer)),
                       ignored);
  connectedMs_ = clock_.nowMs();
  idleSinceMs_ = connectedMs_;
  read();
}

bool ClientConnection::isPeerPresent() const {
  return state_ != State::kClosed && input_.isPeerPresent();
}

// ---- Transfer to another process

std::optional<ClientConnection::TransferState> ClientConnection::transferState() {
  if (state_ != State::kStreaming || !output_.empty() || !input_.prepareTransfer())
    return std::nullopt;
  return TransferState{socket_.native_handle(), input_.buffered(), input_.bufferedSinceMs(),
                       keepAlive_};
}

// Closes without a shutdown, which would end the connection for the other process as well.
void ClientConnection::release() {
  if (state_ == State::kClosed)
    return;
  state_ = State::kClosed;
  cancelTimers();
  input_.setWakeThreshold(1);
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_.closed(shared_from_this());
}

void ClientConnection::adopt(const TransferState& state) {
  connectedMs_ = clock_.nowMs();
  idleSinceMs_ = connectedMs_;
  requestArrivedMs_ = connectedMs_;
  hasRequested_ = true;
  owner_.requestStarted(*this);
  keepAlive_ = state.keepAlive;
  state_ = State::kStreaming;
  input_.adopt(state.pipelinedInput, state.pipelinedSinceMs);
  peerWatch_.start(shared_from_this());
}

// ---- Reading a request

void ClientConnection::read() {
  state_ = State::kIdle;
  input_.beginRequest();
  if (input_.hasShed())
    return readBuffered();
  setInputTimeout(hasRequested_ ? kIdleTimeoutMs
                                : kFirstRequestTimeoutMs - (clock_.nowMs() - connectedMs_));
  if (input_.hasBuffered())
    return onInput();
  awaitInput();
}

// Waits for readiness instead of starting a read: a pending read may have consumed bytes when the
// connection is closed before its handler runs.
void ClientConnection::awaitInput() {
  input_.setWakeThreshold(1);
  const auto self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self](const boost::system::error_code& error) {
                       if (!error)
                         self->onInput();
                     });
}

void ClientConnection::onInput() {
  if (state_ != State::kIdle && state_ != State::kReading)
    return;
  boost::system::error_code error;
  const RequestReader::Progress progress = input_.readRequest(error);
  if (progress == RequestReader::Progress::kNothing)
    return awaitInput();
  if (progress == RequestReader::Progress::kNoResources)
    return retryInput();
  if (progress == RequestReader::Progress::kFailed)
    return refuseInput(error);
  if (state_ == State::kIdle)
    startRequest();
  if (progress == RequestReader::Progress::kComplete)
    handleRequest();
  else if (chargeInput())
    awaitInput();
  else
    refuseInputForMemory();
}

// Returns false if the incomplete request needs memory that nobody can give.
bool ClientConnection::chargeInput() {
  while (!input_.chargeIncomplete())
    if (!owner_.refuseOldestInput(*this))
      return false;
  return true;
}

// Retries by timer, without waiting for readiness: the socket already has the input.
void ClientConnection::retryInput() {
  timers_.runAt(clock_.nowMs() + kResourceRetryMs,
                [self = shared_from_this()] { self->onInput(); });
}

// The timeout of a client's first request runs from connecting and is already set.
void ClientConnection::startRequest() {
  requestArrivedMs_ = input_.firstByteMs();
  state_ = State::kReading;
  if (hasRequested_) {
    owner_.requestStarted(*this);
    setInputTimeout(kNextRequestTimeoutMs);
  } else if (!inputTimer_.armed()) {
    setInputTimeout(kFinalRequestTimeoutMs);
  }
}

void ClientConnection::setInputTimeout(double afterMs) {
  inputTimer_ = timers_.schedule(clock_.nowMs() + afterMs,
                                 [self = shared_from_this()] { self->inputTimedOut(); });
}

// An incomplete request gets a 408 response; an idle connection is closed.
void ClientConnection::inputTimedOut() {
  if (state_ == State::kReading)
    return refuseInput(boost::asio::error::timed_out);
  if (state_ == State::kIdle)
    closeUnlessUnread();
}

void ClientConnection::handleRequest() {
  inputTimer_.cancel();
  HttpRequest request = input_.takeRequest();
  if (!hasUnambiguousLength(request))
    return refuseInput(http::error::bad_transfer_encoding);
  hasRequested_ = true;
  owner_.requestStarted(*this);
  keepAlive_ = request.keep_alive();
  state_ = State::kAnswering;
  if (refusesPipelined_)
    return handler_.reject(*this, 503, "other clients wait for a connection");
  handler_.request(shared_from_this(), std::move(request), requestArrivedMs_);
  peerWatch_.start(shared_from_this());
}

// Answers input that is no valid request with a 4xx response and closes the connection. Other
// connections are not affected.
void ClientConnection::refuseInput(const boost::system::error_code& error) {
  inputTimer_.cancel();
  const std::optional<InputRefusal> refusal = refusalFor(error);
  if (!refusal)
    return close();
  refuseInput(refusal->status, refusal->text);
}

void ClientConnection::refuseInput(unsigned status, std::string_view reason) {
  inputTimer_.cancel();
  keepAlive_ = false;
  refusedInput_ = true;
  input_.dropBuffered();
  state_ = State::kAnswering;
  handler_.reject(*this, status, reason);
}

bool ClientConnection::isReadingLargeRequest() const {
  return state_ == State::kReading &&
         input_.incompleteBytes() > core::MemoryBudget::kSmallRequestBytes;
}

void ClientConnection::refuseIncompleteInput(std::string_view reason) {
  if (state_ == State::kReading)
    refuseInput(503, reason);
}

void ClientConnection::refuseInputForMemory() {
  refuseInput(503, "memory is needed for other requests");
}

// Serves the requests that were buffered completely in order and refuses those behind them.
// Shedding leaves a gap in the input, so nothing behind it can be parsed.
void ClientConnection::readBuffered() {
  boost::system::error_code error;
  const RequestReader::Progress progress = input_.readBuffered(error);
  if (input_.unansweredRequests() == 0)
    return closeGracefully();
  input_.countAnswered();
  startRequest();
  if (progress == RequestReader::Progress::kComplete)
    handleRequest();
  else if (progress == RequestReader::Progress::kFailed)
    refuseInput(error);
  else
    refuseShed();
}

void ClientConnection::refuseShed() {
  inputTimer_.cancel();
  input_.dropBuffered();
  keepAlive_ = input_.unansweredRequests() > 0;
  refusedInput_ = !keepAlive_ && input_.shedEndsMidRequest();
  state_ = State::kAnswering;
  handler_.reject(*this, 503, "more was sent ahead than is kept");
}

bool ClientConnection::isAnswering() const {
  return state_ == State::kAnswering || state_ == State::kStreaming;
}

// ---- Answering

// Whether the answer that is about to begin is the last on this connection. While draining,
// requests that have already been received are served first. While other clients wait for a
// connection, they are refused instead.
bool ClientConnection::isLastAnswer() {
  if (!keepAlive_)
    return true;
  if (input_.hasShed())
    return input_.unansweredRequests() == 0;
  const bool draining = owner_.draining();
  refusesPipelined_ = !draining && owner_.hasWaitingClients();
  if (!draining && !refusesPipelined_)
    return false;
  if (!input_.hasNextRequest())
    return true;
  const int maxAnswers = draining ? kMaxServedWhileDraining : kMaxRefusedWhileClientsWait;
  return ++answersBeforeClose_ > maxAnswers;
}

void ClientConnection::answer(unsigned status, Fields fields, std::string_view body) {
  if (state_ != State::kAnswering)
    return;
  keepAlive_ = !isLastAnswer();
  fields.emplace_back("Content-Length", std::to_string(body.size()));
  if (!keepAlive_)
    fields.emplace_back("Connection", "close");
  std::string bytes =
      headText("HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonFor(status)), fields);
  bytes += body;
  state_ = State::kFlushing;
  write(bytes);
}

void ClientConnection::beginStream(Fields fields) {
  if (state_ != State::kAnswering)
    return;
  keepAlive_ = !isLastAnswer();
  fields.emplace_back("Transfer-Encoding", "chunked");
  if (!keepAlive_)
    fields.emplace_back("Connection", "close");
  state_ = State::kStreaming;
  write(headText("HTTP/1.1 200 OK", fields));
}

bool ClientConnection::writeChunk(std::string_view data) {
  if (state_ != State::kStreaming || data.empty())
    return true;
  write(encodeChunk(data));
  awaitsWritable_ = state_ == State::kStreaming && output_.heldBytes() > kMaxPendingBytes;
  return !awaitsWritable_;
}

void ClientConnection::endStream() {
  if (state_ != State::kStreaming)
    return;
  state_ = State::kFlushing;
  write(kLastChunk);
}

// Output that is already pending is sent first, within a time limit for clients that read too
// slowly.
void ClientConnection::abortResponse() {
  if (state_ == State::kClosed)
    return;
  keepAlive_ = false;
  state_ = State::kFlushing;
  if (output_.empty())
    return closeGracefully();
  // No more output is added, so a single time limit covers the rest, even if writes make progress.
  // No input is awaited any more, so its timer is free.
  inputTimer_ = timers_.schedule(clock_.nowMs() + kAbortFlushTimeoutMs,
                                 [self = shared_from_this()] { self->close(); });
}

void ClientConnection::write(std::string_view bytes) {
  output_.append(bytes);
  flush();
}

void ClientConnection::flush() {
  if (state_ != State::kClosed)
    output_.flush(shared_from_this());
}

void ClientConnection::written(const boost::system::error_code& error) {
  if (state_ == State::kClosed)
    return;
  if (error)
    return close();
  if (std::exchange(awaitsWritable_, false))
    handler_.writable(*this);
  flush();
  if (!output_.isWriting() && state_ == State::kFlushing)
    answerFinished();
}

// The peer watch of this request ends by itself, as the state is no longer answering: it must not
// take the bytes of the next request for a close.
void ClientConnection::answerFinished() {
  if (!keepAlive_)
    return closeGracefully();
  idleSinceMs_ = clock_.nowMs();
  owner_.requestFinished(*this);
  if (owner_.draining() && !input_.hasNextRequest())
    return closeGracefully();
  read();
}

// ---- Closing

ClientConnection::Evictability ClientConnection::evictability() const {
  if (lingeringClose_)
    return Evictability::kNeverRequested;
  if (state_ != State::kIdle && state_ != State::kReading)
    return Evictability::kNone;
  if (!hasRequested_) {
    const bool isNew = clock_.nowMs() - connectedMs_ < kMinEvictionAgeMs;
    return isNew ? Evictability::kNone : Evictability::kNeverRequested;
  }
  return state_ == State::kIdle ? Evictability::kIdle : Evictability::kNone;
}

// Capacity is needed now, so connections in a lingering close and those without any request are
// closed at once.
bool ClientConnection::evictIfAllowed() {
  if (evictability() == Evictability::kNone || (state_ == State::kIdle && input_.hasUnread()))
    return false;
  if (state_ == State::kReading)
    refuseAndClose();
  else
    close();
  return true;
}

void ClientConnection::evict() {
  if (lingeringClose_)
    return close();
  if (state_ == State::kReading || (state_ == State::kIdle && input_.hasUnread()))
    refuseAndClose();
  else if (state_ == State::kIdle)
    close();
}

// Sends a refusal before closing, so that a request, or a part of one, gets an answer.
void ClientConnection::refuseAndClose() {
  const std::string response =
      handler_.refusalResponse(503, "room is needed for other connections", kEvictionRetryAfterMs);
  if (!sendLastAnswer(socket_.native_handle(), response))
    owner_.answerTruncated();
  close();
}

// Avoids closing while a request is on its way: received bytes are read first, and a connection
// that was opened a moment ago gets time to send its request.
void ClientConnection::closeIdle() {
  if (state_ != State::kIdle)
    return;
  if (!hasRequested_ && clock_.nowMs() - connectedMs_ < kMinEvictionAgeMs)
    return setInputTimeout(kFinalRequestTimeoutMs);
  closeUnlessUnread();
}

void ClientConnection::closeUnlessUnread() {
  if (!input_.hasUnread())
    closeGracefully();
}

void ClientConnection::closeGracefully() {
  if (state_ == State::kClosed || lingeringClose_)
    return;
  state_ = State::kFlushing;
  input_.setWakeThreshold(1);
  inputTimer_.cancel();
  lingeringClose_.emplace(socket_, input_, refusedInput_, [this] { close(); });
  lingeringClose_->start(shared_from_this(), clock_, timers_);
}

void ClientConnection::close() {
  if (state_ == State::kClosed)
    return;
  const bool answerPending = isAnswering() || (state_ == State::kFlushing && !lingeringClose_);
  state_ = State::kClosed;
  cancelTimers();
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  input_.dropBuffered();
  const auto self = shared_from_this();
  if (answerPending)
    handler_.disconnected(*this);
  owner_.closed(self);
}

void ClientConnection::cancelTimers() {
  inputTimer_.cancel();
  output_.cancelTimer();
  peerWatch_.cancelTimer();
  if (lingeringClose_)
    lingeringClose_->cancel();
}

}  // namespace inference_router::net
