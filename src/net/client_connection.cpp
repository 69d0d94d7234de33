#include "net/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cmath>
#include <utility>

namespace dahliastall::net {

namespace http = boost::beast::http;

namespace {

// A client that cannot ask is owed an error or a close within 3 s of connecting; with 60 MB to send, 6 s.
constexpr double kFirstRequestMs = 2'000;  // for the first request to arrive whole, from connecting
constexpr double kSlowInputMs = 2'000;     // for a later one, from its first byte
constexpr double kIdleMs = 5'000;          // between two requests: some clients keep theirs for good
constexpr double kLastMs = 500;            // for the request of who connected just before the door closed
constexpr double kYoungMs = 100;           // for a new connection before it has to give way
constexpr double kSlowOutputMs = 30'000;   // without any progress of what is written
constexpr double kBreakOffMs = 2'000;      // for what was passed on before a break; 5 s are allowed
constexpr double kLingerMs = 500;          // for a client to close, once it has been told of the end
constexpr std::size_t kLingerBytes = 256 * 1024;  // and as much as is read of it until then
// Bytes kept of requests ahead of their turn: one of the largest that is taken at all. What comes behind them
// is read and dropped, as the close of its client would not reach this machine otherwise; so much at a time.
constexpr std::size_t kAheadLimit = kHeadLimit + kBodyLimit;
constexpr std::size_t kDropBytes = 2 * 1024 * 1024;
constexpr double kAheadLookMs = 20;  // until so much more may be dropped
// Bytes that came so long ago stood unread meanwhile; below that it is the usual way of a message, and the
// system's clock is coarse.
constexpr double kUnreadMs = 100;
constexpr std::size_t kHighMark = 64 * 1024;  // bytes waiting for a slow reader before its stream is held
constexpr std::size_t kReadSize = 8 * 1024;

// Guards against a request that hides another: what a message with both lengths, or with a coding that is not
// understood here, holds for its body is read differently elsewhere. Repeated and negative lengths and
// "chunked" beside a length fail in the parser already.
bool framedPlainly(const HttpRequest& request) {
  const auto codings = request.count(http::field::transfer_encoding);
  if (codings == 0) return request.count(http::field::content_length) <= 1;
  return codings == 1 && request.count(http::field::content_length) == 0 && request.version() == 11 &&
         boost::beast::iequals(request[http::field::transfer_encoding], "chunked");
}

}  // namespace

std::string RequestHandler::turnedAway(unsigned status, std::string_view why, double retryAfterMs) const {
  Fields fields{{"Content-Type", "text/plain"}, {"Connection", "close"}};
  fields.emplace_back("Retry-After", std::to_string(static_cast<long>(std::ceil(retryAfterMs / 1000))));
  fields.emplace_back("Content-Length", std::to_string(why.size() + 1));
  return headText("HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonFor(status)), fields) +
         std::string(why) + "\n";
}

ClientConnection::ClientConnection(boost::asio::ip::tcp::socket socket, RequestHandler& handler, Owner& owner,
                                   const core::Clock& clock, core::Deadlines& deadlines)
    : socket_(std::move(socket)), handler_(handler), owner_(owner), clock_(clock), deadlines_(deadlines) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  connected_ = idleSince_ = clock_.nowMs();
  read();
}

std::optional<ClientConnection::Rest> ClientConnection::rest() {
  if (state_ != State::kStreaming || writes_ || !waiting_.empty() || overflowed_) return std::nullopt;
  const auto data = buffer_.data();
  return Rest{socket_.native_handle(), std::string(static_cast<const char*>(data.data()), data.size()),
              aheadCame_.empty() ? 0 : aheadCame_.firstMs(), keepAlive_};
}

// Without a shutdown, which would end the connection for the other process as well.
void ClientConnection::leave() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  deadlines_.cancel(slow_);
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_.closed(shared_from_this());
}

void ClientConnection::takeUp(const Rest& rest) {
  connected_ = idleSince_ = firstByte_ = clock_.nowMs();
  asked_ = true;
  owner_.asks(*this);
  keepAlive_ = rest.keepAlive;
  state_ = State::kStreaming;
  buffer_.commit(
      boost::asio::buffer_copy(buffer_.prepare(rest.ahead.size()), boost::asio::buffer(rest.ahead)));
  aheadCame_.add(rest.ahead.size(), rest.aheadCameMs > 0 ? rest.aheadCameMs : clock_.nowMs());
  watch();
}

ClientConnection::Room ClientConnection::room() const {
  if (lingering_) return Room::kNeverAsked;
  if (state_ != State::kIdle && state_ != State::kReading) return Room::kNone;
  if (!asked_) return clock_.nowMs() - connected_ < kYoungMs ? Room::kNone : Room::kNeverAsked;
  return state_ == State::kIdle ? Room::kIdle : Room::kNone;
}

// Room is needed now, so who is being waited for to close is closed at once, and so is who has not asked yet.
void ClientConnection::giveWay() {
  if (room() != Room::kNone) shut();
}

void ClientConnection::evict() {
  if (state_ == State::kIdle || state_ == State::kReading || lingering_) shut();
}

// The second question costs another call, and is needed only where bytes stand before an end.
bool ClientConnection::present() const {
  if (state_ == State::kClosed) return false;
  const int descriptor = const_cast<boost::asio::ip::tcp::socket&>(socket_).native_handle();
  char byte = 0;
  const auto seen = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (seen <= 0) return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  pollfd ask{descriptor, POLLRDHUP, 0};
  return ::poll(&ask, 1, 0) <= 0 || (ask.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

// ---- Reading ---------------------------------------------------------------------------------------

void ClientConnection::read() {
  state_ = State::kIdle;
  parser_.emplace();
  parser_->body_limit(kBodyLimit);
  parser_->header_limit(kHeadLimit);
  if (buffer_.size() > 0) {  // the next request came early
    firstByte_ = aheadCame_.firstMs();
    state_ = State::kReading;
    if (asked_) owner_.asks(*this);
  }
  if (overflowed_) return readKept();
  const auto self = shared_from_this();
  const auto whole = [self](const boost::system::error_code& error, std::size_t parsed) {
    self->onRead(error, parsed);
  };
  const auto begin = [self, whole] {
    if (self->asked_) self->expire(kSlowInputMs);
    http::async_read(self->socket_, self->buffer_, *self->parser_, whole);
  };
  if (!asked_) expire(kFirstRequestMs - (clock_.nowMs() - connected_));
  if (state_ == State::kReading) return begin();
  if (asked_) expire(kIdleMs);
  socket_.async_read_some(buffer_.prepare(kReadSize),
                          [self, begin](const boost::system::error_code& error, std::size_t count) {
                            if (self->state_ != State::kIdle) return;
                            if (error == boost::asio::error::operation_aborted && self->leaving_)
                              return self->leaveIfQuiet();
                            self->leaving_ = false;
                            if (error) return self->shut();
                            self->firstByte_ = self->cameMs();
                            self->buffer_.commit(count);
                            self->aheadCame_.add(count, self->firstByte_);
                            self->state_ = State::kReading;
                            if (self->asked_) self->owner_.asks(*self);
                            begin();
                          });
}

// Half a request gets a 408; who has sent nothing gets a close.
void ClientConnection::expire(double afterMs) {
  deadlines_.cancel(slow_);
  slow_ = deadlines_.add(clock_.nowMs() + afterMs, [self = shared_from_this()] {
    self->slow_.reset();
    if (self->state_ == State::kReading) return self->refuseInput(boost::asio::error::timed_out);
    if (self->state_ == State::kIdle) self->partOnceRead();
  });
}

// When the bytes that are read now came. They may have stood in this machine, with its queue of connections
// full or this process stopped, and their client's time went on.
double ClientConnection::cameMs() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int descriptor = const_cast<boost::asio::ip::tcp::socket&>(socket_).native_handle();
  const bool known = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  const double agoMs = known ? info.tcpi_last_data_recv : 0;
  return clock_.nowMs() - (agoMs > kUnreadMs ? agoMs : 0);
}

// parsed: bytes of the request, of which those that came ahead are the first.
void ClientConnection::onRead(const boost::system::error_code& error, std::size_t parsed) {
  if (state_ != State::kReading) return;
  deadlines_.cancel(slow_);
  if (error) return refuseInput(error);
  aheadCame_.remove(parsed);
  if (buffer_.size() > aheadCame_.bytes()) aheadCame_.add(buffer_.size() - aheadCame_.bytes(), cameMs());
  if (!framedPlainly(parser_->get())) return refuseInput(http::error::bad_transfer_encoding);
  asked_ = true;
  owner_.asks(*this);
  keepAlive_ = parser_->keep_alive();
  state_ = State::kAnswering;
  HttpRequest request = parser_->release();
  handler_.request(shared_from_this(), std::move(request), firstByte_);
  watch();
}

// A bad peer costs its own connection and nothing else: input that is no request gets a plain 4xx.
void ClientConnection::refuseInput(const boost::system::error_code& error) {
  deadlines_.cancel(slow_);
  const bool parsed = error.category() == http::make_error_code(http::error::bad_method).category();
  if (error != boost::asio::error::timed_out &&
      (!parsed || error == http::error::end_of_stream || error == http::error::partial_message))
    return shut();
  keepAlive_ = false;
  state_ = State::kAnswering;
  if (error == boost::asio::error::timed_out)
    handler_.reject(*this, 408, "the request took too long to arrive");
  else if (error == http::error::body_limit) handler_.reject(*this, 413, "the body is larger than 256 KiB");
  else if (error == http::error::header_limit) handler_.reject(*this, 431, "the head is too large");
  else handler_.reject(*this, 400, "not an HTTP/1.1 request");
}

// While an answer is under way nothing is read, yet a client that closes must be noticed: bytes that are
// there belong to its next request and wait in the kernel.
void ClientConnection::watch() {
  if (watching_ || (state_ != State::kAnswering && state_ != State::kStreaming)) return;
  watching_ = true;
  const auto self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self](const boost::system::error_code& error) {
    self->watching_ = false;
    if (error || (self->state_ != State::kAnswering && self->state_ != State::kStreaming)) return;
    char byte = 0;
    const auto seen = ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (seen > 0) return self->readAhead();
    if (seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return self->watch();
    self->shut();
  });
}

// A request ahead of its turn. It is taken out of the kernel, as a close behind it shows only then.
void ClientConnection::readAhead() {
  if (overflowed_ || buffer_.size() >= kAheadLimit) return dropAhead();
  const double atMs = cameMs();
  const std::size_t room = std::min(kReadSize, kAheadLimit - buffer_.size());
  boost::system::error_code fault;
  const std::size_t count = socket_.read_some(buffer_.prepare(room), fault);
  if (fault) return shut();
  buffer_.commit(count);
  aheadCame_.add(count, atMs);
  watch();
}

// With so much dropped the clock says when there may be more: otherwise a client that never stops sending
// would have the loop to itself.
void ClientConnection::watchByClock() {
  const auto self = shared_from_this();
  deadlines_.cancel(look_);
  look_ = deadlines_.add(clock_.nowMs() + kAheadLookMs, [self] {
    self->look_.reset();
    if (self->state_ != State::kAnswering && self->state_ != State::kStreaming) return;
    if (!self->present()) return self->shut();
    self->mayDrop_ = kDropBytes;
    self->watch();
  });
}

void ClientConnection::dropAhead() {
  if (mayDrop_ == 0) return watchByClock();
  std::array<char, 64 * 1024> dropped{};
  const std::size_t most = std::min(dropped.size(), mayDrop_);
  const auto count = ::recv(socket_.native_handle(), dropped.data(), most, MSG_DONTWAIT);
  if (count > 0) {
    overflowed_ = true;
    mayDrop_ -= static_cast<std::size_t>(count);
  }
  watch();
}

// After a gap nothing that comes can be read: the requests before it are served in turn, and the one that it
// cuts off is refused.
void ClientConnection::readKept() {
  state_ = State::kReading;
  boost::system::error_code error;
  std::size_t parsed = 0;
  while (buffer_.size() > 0 && !parser_->is_done() && !error) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    parsed += used;
  }
  if (parser_->is_done()) return onRead({}, parsed);
  if (error && error != http::error::need_more) return refuseInput(error);
  keepAlive_ = false;
  state_ = State::kAnswering;
  handler_.reject(*this, 503, "more was sent ahead than is kept");
}

// ---- Writing ---------------------------------------------------------------------------------------

void ClientConnection::answer(unsigned status, Fields fields, std::string_view body) {
  if (state_ != State::kAnswering) return;
  if (owner_.draining()) keepAlive_ = false;
  fields.emplace_back("Content-Length", std::to_string(body.size()));
  if (!keepAlive_) fields.emplace_back("Connection", "close");
  std::string bytes =
      headText("HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonFor(status)), fields);
  bytes += body;
  state_ = State::kFlushing;
  put(bytes);
}

void ClientConnection::beginStream(Fields fields) {
  if (state_ != State::kAnswering) return;
  if (owner_.draining()) keepAlive_ = false;
  fields.emplace_back("Transfer-Encoding", "chunked");
  if (!keepAlive_) fields.emplace_back("Connection", "close");
  state_ = State::kStreaming;
  put(headText("HTTP/1.1 200 OK", fields));
}

bool ClientConnection::pass(std::string_view part) {
  if (state_ != State::kStreaming || part.empty()) return true;
  put(chunkOf(part));
  held_ = state_ == State::kStreaming && waiting_.size() > kHighMark;
  return !held_;
}

void ClientConnection::endStream() {
  if (state_ != State::kStreaming) return;
  state_ = State::kFlushing;
  put(kLastChunk);
}

void ClientConnection::breakOff() {
  if (state_ == State::kClosed) return;
  keepAlive_ = false;
  // What is written already goes out first; a reader that takes none of it is cut by the deadline of flush().
  state_ = State::kFlushing;
  if (!writes_ && waiting_.empty()) return part();
  // Nothing more comes, so what is left is one time limit's worth, however often some of it gets through.
  const auto self = shared_from_this();
  deadlines_.add(clock_.nowMs() + kBreakOffMs, [self] { self->shut(); });
}

// Guards a request against a close that crosses it: what has come is read first, and who connected a moment
// ago connected in order to ask.
void ClientConnection::closeIdle() {
  if (state_ != State::kIdle) return;
  if (!asked_ && clock_.nowMs() - connected_ < kYoungMs) return expire(kLastMs);
  partOnceRead();
}

// The read under way may have its bytes already, though its handler has not run: it says so when it is called
// off.
void ClientConnection::partOnceRead() {
  leaving_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void ClientConnection::leaveIfQuiet() {
  leaving_ = false;
  char byte = 0;
  if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return read();
  part();
}

void ClientConnection::put(std::string_view bytes) {
  waiting_ += bytes;
  flush();
}

void ClientConnection::flush() {
  if (writes_ || waiting_.empty() || state_ == State::kClosed) return;
  writes_ = true;
  writing_.swap(waiting_);
  waiting_.clear();
  const auto self = shared_from_this();
  deadlines_.cancel(slow_);
  slow_ = deadlines_.add(clock_.nowMs() + kSlowOutputMs, [self] {
    self->slow_.reset();
    self->shut();
  });
  boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                           [self](const boost::system::error_code& error, std::size_t) {
                             self->writes_ = false;
                             self->deadlines_.cancel(self->slow_);
                             if (self->state_ == State::kClosed) return;
                             if (error) return self->shut();
                             if (std::exchange(self->held_, false)) self->handler_.drained(*self);
                             self->flush();
                             if (!self->writes_ && self->state_ == State::kFlushing) self->finished();
                           });
}

void ClientConnection::finished() {
  if (!keepAlive_) return part();
  idleSince_ = clock_.nowMs();
  owner_.rests(*this);
  // The watch on the answered request must not take the next one's bytes for a close; it ends by itself.
  if (owner_.draining() && buffer_.size() == 0) return part();
  read();
}

// The end of a connection from this side. Closing with input unread, or as input arrives, would reset it and
// take what was written last from the client's hands: so this side ends its sending, reads and drops what
// still comes, and closes when the client has, within bounds. Nothing that is read from here on is a request.
void ClientConnection::part() {
  if (state_ == State::kClosed || lingering_) return;
  state_ = State::kFlushing;
  lingering_ = true;
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  deadlines_.cancel(slow_);
  slow_ = deadlines_.add(clock_.nowMs() + kLingerMs, [self] {
    self->slow_.reset();
    self->shut();
  });
  linger();
}

void ClientConnection::linger() {
  const auto self = shared_from_this();
  buffer_.clear();
  socket_.async_read_some(buffer_.prepare(kReadSize),
                          [self](const boost::system::error_code& error, std::size_t count) {
                            if (self->state_ == State::kClosed) return;
                            self->dropped_ += count;
                            if (error || self->dropped_ > kLingerBytes) return self->shut();
                            self->linger();
                          });
}

void ClientConnection::shut() {
  if (state_ == State::kClosed) return;
  const bool owed = state_ == State::kAnswering || state_ == State::kStreaming ||
                    (state_ == State::kFlushing && !lingering_);
  state_ = State::kClosed;
  deadlines_.cancel(slow_);
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  const auto self = shared_from_this();
  if (owed) handler_.gone(*this);
  owner_.closed(self);
}

}  // namespace dahliastall::net
