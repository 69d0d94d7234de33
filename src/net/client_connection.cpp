#include "net/client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cmath>
#include <utility>

#include "net/last_answer.h"
#include "net/send_operation.h"
#include "net/socket_calls.h"
#include "net/socket_input.h"

namespace inference_router::net {

namespace http = boost::beast::http;

namespace {

// A client that cannot ask is owed an error or a close within 3 s of connecting; with 60 MB to
// send, 6 s.
constexpr double kFirstRequestMs = 2'000;  // for the first request to arrive whole, from connecting
constexpr double kSlowInputMs = 2'000;     // for a later one, from its first byte
constexpr double kIdleMs = 5'000;  // between two requests: some clients keep theirs for good
constexpr double kLastMs = 500;    // for a request that begins as its time ends, or the door closes
constexpr double kYoungMs = 100;   // for a new connection before it has to give way
constexpr double kSlowOutputMs = 30'000;  // without any progress of what is written
constexpr double kBreakOffMs = 2'000;     // for what was passed on before a break; 5 s are allowed
constexpr double kLingerMs = 500;         // for a client to close, once it has been told of the end
constexpr std::size_t kLingerBytes = 256 * 1024;  // and as much as is read of it until then
// Bytes that stand unread behind a request whose answer is under way, and as many of them as are
// kept once more have come: one of the largest requests that is taken. A client's close shows
// behind unread bytes only while they have room here, and waits in the client's own system
// otherwise: so there is room for twice as many, and from this number on they are read. Each
// request that is read and not kept gets a refusal.
constexpr std::size_t kAheadLimit = kHeadLimit + kBodyLimit;
constexpr std::size_t kInputRoom = 2 * kAheadLimit;
// A client that never stops sending must not have the loop to itself.
constexpr std::size_t kMostReadAhead = 2 * 1024 * 1024;  // until the next look
constexpr double kAheadLookMs = 20;                      // between two looks
// Bytes that came so long ago stood unread meanwhile; below that it is the usual way of a message,
// and the system's clock is coarse.
constexpr double kUnreadMs = 100;
constexpr double kRoomRetryMs = 1'000;  // told to who has to make room
constexpr std::size_t kHighMark =
    64 * 1024;  // bytes waiting for a slow reader before its stream is held
constexpr std::size_t kDropSize = 8 * 1024;    // read at a time of what is dropped
constexpr std::size_t kAheadSize = 64 * 1024;  // read at a time ahead of its turn
// Requests that stand in line on a connection as it is to close are served up to this number: a
// client that never stops sending must not keep the process.
constexpr int kMostWhileClosing = 64;

// Guards against a request that hides another: what a message with both lengths, or with a coding
// that is not understood here, holds for its body is read differently elsewhere. Repeated and
// negative lengths and "chunked" beside a length fail in the parser already.
bool framedPlainly(const HttpRequest& request) {
  const auto codings = request.count(http::field::transfer_encoding);
  if (codings == 0)
    return request.count(http::field::content_length) <= 1;
  return codings == 1 && request.count(http::field::content_length) == 0 &&
         request.version() == 11 &&
         boost::beast::iequals(request[http::field::transfer_encoding], "chunked");
}

}  // namespace

std::string RequestHandler::turnedAway(unsigned status,
                                       std::string_view why,
                                       double retryAfterMs) const {
  Fields fields{{"Content-Type", "text/plain"}, {"Connection", "close"}};
  fields.emplace_back("Retry-After",
                      std::to_string(static_cast<long>(std::ceil(retryAfterMs / 1000))));
  fields.emplace_back("Content-Length", std::to_string(why.size() + 1));
  return headText("HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonFor(status)),
                  fields) +
         std::string(why) + "\n";
}

ClientConnection::ClientConnection(boost::asio::ip::tcp::socket socket,
                                   RequestHandler& handler,
                                   Owner& owner,
                                   const core::Clock& clock,
                                   core::TimerQueue& timers)
    : socket_(std::move(socket)),
      handler_(handler),
      owner_(owner),
      clock_(clock),
      timers_(timers) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  reserveRoom();
  connected_ = idleSince_ = clock_.nowMs();
  read();
}

std::optional<ClientConnection::TransferState> ClientConnection::rest() {
  if (state_ != State::kStreaming || writes_ || !waiting_.empty() || shed_)
    return std::nullopt;
  if (!reader_.takeStanding(descriptor()))
    return std::nullopt;  // they would be read a second time there
  noteArrivals();
  return TransferState{descriptor(), reader_.carried(), came_.empty() ? 0 : came_.firstMs(),
                       keepAlive_};
}

// Without a shutdown, which would end the connection for the other process as well.
void ClientConnection::leave() {
  if (state_ == State::kClosed)
    return;
  state_ = State::kClosed;
  timers_.cancel(slow_);
  timers_.cancel(look_);
  wakeAt(1);
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_.closed(shared_from_this());
}

void ClientConnection::adopt(const TransferState& rest) {
  connected_ = idleSince_ = firstByte_ = clock_.nowMs();
  asked_ = true;
  owner_.asks(*this);
  keepAlive_ = rest.keepAlive;
  state_ = State::kStreaming;
  reader_.carry(rest.ahead);
  reserveRoom();
  if (rest.aheadCameMs > 0)
    came_.add(rest.ahead.size() + unreadBytes(descriptor()), rest.aheadCameMs);
  watch();
}

ClientConnection::Room ClientConnection::room() const {
  if (lingering_)
    return Room::kNeverAsked;
  if (state_ != State::kIdle && state_ != State::kReading)
    return Room::kNone;
  if (!asked_)
    return clock_.nowMs() - connected_ < kYoungMs ? Room::kNone : Room::kNeverAsked;
  return state_ == State::kIdle ? Room::kIdle : Room::kNone;
}

// Room is needed now, so who is being waited for to close is closed at once, and so is who has not
// asked yet.
bool ClientConnection::giveWay() {
  if (room() == Room::kNone || (state_ == State::kIdle && hasUnread()))
    return false;
  if (state_ == State::kReading)
    turnAway();
  else
    shut();
  return true;
}

void ClientConnection::evict() {
  if (lingering_)
    return shut();
  if (state_ == State::kReading || (state_ == State::kIdle && hasUnread()))
    turnAway();
  else if (state_ == State::kIdle)
    shut();
}

// Guards a request, or what has been read of one, against a close without any answer.
void ClientConnection::turnAway() {
  if (!sendLastAnswer(descriptor(), handler_.turnedAway(503, "room is needed for other connections",
                                                        kRoomRetryMs)))
    owner_.answerCut();
  shut();
}

// Where this machine cannot look, a request may be there: a connection is not closed over one.
bool ClientConnection::hasUnread() const {
  if (reader_.standing() > 0)
    return unread() > 0;
  std::array<char, 1> byte{};
  const IoStatus seen = peek(descriptor(), byte).status;
  return seen == IoStatus::kDone || seen == IoStatus::kNoResources;
}

// Of what comes next, without bytes that are read already.
std::size_t ClientConnection::unread() const {
  const std::size_t inSocket = unreadBytes(descriptor());
  return inSocket - std::min(inSocket, reader_.standing());
}

bool ClientConnection::hasNextRequest() const {
  if (shed_)
    return shed_->unanswered() > 0;
  return !reader_.carried().empty() || hasUnread();
}

int ClientConnection::descriptor() const {
  return const_cast<boost::asio::ip::tcp::socket&>(socket_).native_handle();
}

// The second question costs another call, and is needed only where bytes stand before an end.
bool ClientConnection::present() const {
  if (state_ == State::kClosed)
    return false;
  std::array<char, 1> byte{};
  const IoStatus seen = peek(descriptor(), byte).status;
  if (seen == IoStatus::kEnded || seen == IoStatus::kFailed)
    return false;
  return seen == IoStatus::kWouldBlock || !hasPeerEnded(descriptor());
}

// ---- Reading
// ---------------------------------------------------------------------------------------

void ClientConnection::read() {
  state_ = State::kIdle;
  reader_.begin();
  if (shed_)
    return readKept();
  expire(asked_ ? kIdleMs : kFirstRequestMs - (clock_.nowMs() - connected_));
  if (!reader_.carried().empty())
    return onInput();
  awaitInput();
}

// Only readiness is waited for: an operation that reads may have its bytes already when the
// connection is closed, before its handler has run.
void ClientConnection::awaitInput() {
  wakeAt(1);
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
  noteArrivals();
  boost::system::error_code error;
  const RequestReader::Progress progress = reader_.read(descriptor(), error);
  if (progress == RequestReader::Progress::kNothing)
    return awaitInput();
  if (progress == RequestReader::Progress::kNoResources)
    return retryInput();
  if (progress == RequestReader::Progress::kFailed)
    return refuseInput(error);
  if (state_ == State::kIdle)
    startRequest();
  if (progress == RequestReader::Progress::kWhole)
    takeRequest();
  else
    awaitInput();
}

// Without readiness: the socket has it already.
void ClientConnection::retryInput() {
  timers_.add(clock_.nowMs() + kResourceRetryMs, [self = shared_from_this()] { self->onInput(); });
}

// Bytes that have come since the last look. They may have stood in this machine, with its queue of
// connections full or this process stopped, and their client's time went on.
void ClientConnection::noteArrivals() {
  const std::size_t bytes = reader_.size() + reader_.carried().size() + unread();
  if (bytes <= came_.bytes())
    return;
  const double agoMs = lastArrivalAgoMs(descriptor());
  came_.add(bytes - came_.bytes(), clock_.nowMs() - (agoMs > kUnreadMs ? agoMs : 0));
}

// The time of a client's first request runs from connecting.
void ClientConnection::startRequest() {
  firstByte_ = came_.empty() ? clock_.nowMs() : came_.firstMs();
  state_ = State::kReading;
  if (asked_) {
    owner_.asks(*this);
    expire(kSlowInputMs);
  } else if (!slow_) {
    expire(kLastMs);
  }
}

// Half a request gets a 408; who has sent nothing gets a close.
void ClientConnection::expire(double afterMs) {
  timers_.cancel(slow_);
  slow_ = timers_.add(clock_.nowMs() + afterMs, [self = shared_from_this()] {
    self->slow_.reset();
    if (self->state_ == State::kReading)
      return self->refuseInput(boost::asio::error::timed_out);
    if (self->state_ == State::kIdle)
      self->partIfQuiet();
  });
}

void ClientConnection::takeRequest() {
  timers_.cancel(slow_);
  came_.remove(reader_.size());
  HttpRequest request = reader_.release();
  reader_.begin();
  if (!framedPlainly(request))
    return refuseInput(http::error::bad_transfer_encoding);
  asked_ = true;
  owner_.asks(*this);
  keepAlive_ = request.keep_alive();
  state_ = State::kAnswering;
  handler_.request(shared_from_this(), std::move(request), firstByte_);
  watch();
}

// A bad peer costs its own connection and nothing else: input that is no request gets a plain 4xx.
void ClientConnection::refuseInput(const boost::system::error_code& error) {
  timers_.cancel(slow_);
  const bool parsed = error.category() == http::make_error_code(http::error::bad_method).category();
  if (error != boost::asio::error::timed_out &&
      (!parsed || error == http::error::end_of_stream || error == http::error::partial_message))
    return shut();
  keepAlive_ = false;
  refused_ = true;
  state_ = State::kAnswering;
  if (error == boost::asio::error::timed_out)
    handler_.reject(*this, 408, "the request took too long to arrive");
  else if (error == http::error::body_limit)
    handler_.reject(*this, 413, "the body is larger than 256 KiB");
  else if (error == http::error::header_limit)
    handler_.reject(*this, 431, "the head is too large");
  else
    handler_.reject(*this, 400, "not an HTTP/1.1 request");
}

// After a gap nothing that comes can be read: the requests that were kept whole are served in turn,
// and those behind them refused.
void ClientConnection::readKept() {
  boost::system::error_code error;
  const RequestReader::Progress progress = reader_.readCarried(error);
  if (shed_->unanswered() == 0)
    return part();
  shed_->answered();
  startRequest();
  if (progress == RequestReader::Progress::kWhole)
    takeRequest();
  else if (progress == RequestReader::Progress::kFailed)
    refuseInput(error);
  else
    refuseShed();
}

void ClientConnection::refuseShed() {
  timers_.cancel(slow_);
  came_ = {};
  reader_.dropCarried();
  reader_.begin();
  keepAlive_ = shed_->unanswered() > 0;
  refused_ = !keepAlive_ && shed_->endsMidway();
  state_ = State::kAnswering;
  handler_.reject(*this, 503, "more was sent ahead than is kept");
}

bool ClientConnection::answerIsUnderWay() const {
  return state_ == State::kAnswering || state_ == State::kStreaming;
}

// While an answer is under way nothing is read, yet a client that closes must be noticed: bytes
// that are there belong to its next request and wait in the kernel, as the answer may turn out to
// be the last. The system tells of more bytes and of an end behind them.
void ClientConnection::watch() {
  if (watching_ || !answerIsUnderWay())
    return;
  watching_ = true;
  noteArrivals();
  wakeAt(readsAhead() ? 1 : unreadBytes(descriptor()) + 1);
  const auto self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self](const boost::system::error_code& error) {
                       self->watching_ = false;
                       if (!error && self->answerIsUnderWay())
                         self->onAhead();
                     });
}

void ClientConnection::onAhead() {
  if (!present())
    return shut();
  const std::size_t known = came_.bytes();
  noteArrivals();
  if (readsAhead())
    return readAhead();
  if (came_.bytes() > known)
    return watch();
  // The system is short of room and says so again and again, or another process that had the
  // connection has set the socket anew.
  wokenAt_ = 0;
  watchByClock();
}

bool ClientConnection::readsAhead() const {
  return shed_ || reader_.carried().size() + unread() >= readAheadFrom_;
}

// With so much ahead of its turn the system may have no room for more, and for a close behind it.
void ClientConnection::readAhead() {
  if (mayReadAhead_ == 0)
    return watchByClock();
  if (!reader_.takeStanding(descriptor()))
    return watchByClock();
  std::array<char, kAheadSize> bytes;
  const IoResult got =
      receive(descriptor(), std::span(bytes).first(std::min(bytes.size(), mayReadAhead_)));
  if (got.status == IoStatus::kNoResources)
    return watchByClock();
  if (got.status == IoStatus::kDone) {
    mayReadAhead_ -= got.bytes;
    keepOrShed({bytes.data(), got.bytes});
  }
  watch();
}

// Behind a last answer there is no request any more.
void ClientConnection::keepOrShed(std::string_view bytes) {
  if (!keepAlive_)
    return;
  const std::size_t room = kAheadLimit - std::min(kAheadLimit, reader_.carried().size());
  if (shed_)
    return shed_->read(bytes);
  reader_.carry(bytes.substr(0, room));
  if (bytes.size() <= room)
    return;
  shed_.emplace();
  shed_->read(reader_.carried());
  shed_->read(bytes.substr(room));
}

void ClientConnection::watchByClock() {
  timers_.cancel(look_);
  look_ = timers_.add(clock_.nowMs() + kAheadLookMs, [self = shared_from_this()] {
    self->look_.reset();
    if (!self->answerIsUnderWay())
      return;
    if (!self->present())
      return self->shut();
    self->mayReadAhead_ = kMostReadAhead;
    self->watch();
  });
}

// The system may grant less room than is asked for: then reading ahead begins the sooner.
void ClientConnection::reserveRoom() {
  readAheadFrom_ = std::min(kAheadLimit, reserveInput(descriptor(), kInputRoom) / 2);
}

void ClientConnection::wakeAt(std::size_t unread) {
  if (unread == wokenAt_)
    return;
  wokenAt_ = unread;
  setReadableFrom(descriptor(), unread);
}

// ---- Writing
// ---------------------------------------------------------------------------------------

// Whether the answer that is about to begin is the last on this connection. While it is to close,
// requests that have come behind are served first.
bool ClientConnection::isLastAnswer() {
  if (!keepAlive_)
    return true;
  if (shed_)
    return shed_->unanswered() == 0;
  if (!owner_.draining())
    return false;
  if (!hasNextRequest())
    return true;
  return ++servedWhileClosing_ > kMostWhileClosing;
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
  put(bytes);
}

void ClientConnection::beginStream(Fields fields) {
  if (state_ != State::kAnswering)
    return;
  keepAlive_ = !isLastAnswer();
  fields.emplace_back("Transfer-Encoding", "chunked");
  if (!keepAlive_)
    fields.emplace_back("Connection", "close");
  state_ = State::kStreaming;
  put(headText("HTTP/1.1 200 OK", fields));
}

bool ClientConnection::pass(std::string_view part) {
  if (state_ != State::kStreaming || part.empty())
    return true;
  put(chunkOf(part));
  held_ = state_ == State::kStreaming && waiting_.size() > kHighMark;
  return !held_;
}

void ClientConnection::endStream() {
  if (state_ != State::kStreaming)
    return;
  state_ = State::kFlushing;
  put(kLastChunk);
}

void ClientConnection::breakOff() {
  if (state_ == State::kClosed)
    return;
  keepAlive_ = false;
  // What is written already goes out first; a reader that takes none of it is cut by the deadline
  // of flush().
  state_ = State::kFlushing;
  if (!writes_ && waiting_.empty())
    return part();
  // Nothing more comes, so what is left is one time limit's worth, however often some of it gets
  // through.
  const auto self = shared_from_this();
  timers_.add(clock_.nowMs() + kBreakOffMs, [self] { self->shut(); });
}

// Guards a request against a close that crosses it: what has come is read first, and who connected
// a moment ago connected in order to ask.
void ClientConnection::closeIdle() {
  if (state_ != State::kIdle)
    return;
  if (!asked_ && clock_.nowMs() - connected_ < kYoungMs)
    return expire(kLastMs);
  partIfQuiet();
}

void ClientConnection::partIfQuiet() {
  if (!hasUnread())
    part();
}

void ClientConnection::put(std::string_view bytes) {
  waiting_ += bytes;
  flush();
}

void ClientConnection::flush() {
  if (writes_ || waiting_.empty() || state_ == State::kClosed)
    return;
  writes_ = true;
  writing_.swap(waiting_);
  waiting_.clear();
  const auto self = shared_from_this();
  timers_.cancel(slow_);
  slow_ = timers_.add(clock_.nowMs() + kSlowOutputMs, [self] {
    self->slow_.reset();
    self->shut();
  });
  SendOperation::start({self, &socket_}, writing_, {},
                       [self](const boost::system::error_code& error) { self->flushed(error); });
}

void ClientConnection::flushed(const boost::system::error_code& error) {
  writes_ = false;
  timers_.cancel(slow_);
  if (state_ == State::kClosed)
    return;
  if (error)
    return shut();
  if (std::exchange(held_, false))
    handler_.drained(*this);
  flush();
  if (!writes_ && state_ == State::kFlushing)
    finished();
}

void ClientConnection::finished() {
  if (!keepAlive_)
    return part();
  idleSince_ = clock_.nowMs();
  owner_.rests(*this);
  // The watch on the answered request must not take the next one's bytes for a close; it ends by
  // itself.
  if (owner_.draining() && !hasNextRequest())
    return part();
  read();
}

// The end of a connection from this side. Closing with input unread, or as input arrives, would
// reset it and take what was written last from the client's hands: so this side ends its sending
// and closes when the client has, within bounds. No request is read from here on.
void ClientConnection::part() {
  if (state_ == State::kClosed || lingering_)
    return;
  state_ = State::kFlushing;
  lingering_ = true;
  wakeAt(1);
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  timers_.cancel(slow_);
  slow_ = timers_.add(clock_.nowMs() + kLingerMs, [self] {
    self->slow_.reset();
    self->shut();
  });
  linger();
}

void ClientConnection::linger() {
  const auto self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self](const boost::system::error_code& error) {
                       if (self->state_ == State::kClosed)
                         return;
                       if (error)
                         return self->shut();
                       if (self->hasUnread() && !self->refused_)
                         return;  // another request: left unread until the time is over
                       if (!self->refused_ || self->dropInput())
                         return self->shut();
                       self->linger();
                     });
}

// What follows input that was refused belongs to it. True once the client has ended, or has sent
// too much.
bool ClientConnection::dropInput() {
  std::array<char, kDropSize> dropped;
  const IoResult got = receive(descriptor(), dropped);
  dropped_ += got.bytes;
  return got.status == IoStatus::kEnded || got.status == IoStatus::kFailed ||
         dropped_ > kLingerBytes;
}

void ClientConnection::shut() {
  if (state_ == State::kClosed)
    return;
  const bool owed = state_ == State::kAnswering || state_ == State::kStreaming ||
                    (state_ == State::kFlushing && !lingering_);
  state_ = State::kClosed;
  timers_.cancel(slow_);
  timers_.cancel(look_);
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  const auto self = shared_from_this();
  if (owed)
    handler_.gone(*this);
  owner_.closed(self);
}

}  // namespace inference_router::net
