#include "net/client_connection.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace dahliastall::net {

namespace http = boost::beast::http;

namespace {

constexpr double kSlowInputMs = 10'000;       // for a request to arrive whole, from its first byte
constexpr double kSlowOutputMs = 30'000;      // without any progress of what is written
constexpr double kLingerMs = 500;             // for a refused client to stop sending
constexpr std::size_t kHighMark = 64 * 1024;  // bytes waiting for a slow reader before its stream is held
constexpr std::size_t kReadSize = 8 * 1024;

}  // namespace

ClientConnection::ClientConnection(boost::asio::ip::tcp::socket socket, RequestHandler& handler, Owner& owner,
                                   const core::Clock& clock, core::Deadlines& deadlines)
    : socket_(std::move(socket)), handler_(handler), owner_(owner), clock_(clock), deadlines_(deadlines) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  idleSince_ = clock_.nowMs();
  read();
}

// ---- Reading ---------------------------------------------------------------------------------------

void ClientConnection::read() {
  state_ = State::kIdle;
  parser_.emplace();
  parser_->body_limit(kBodyLimit);
  parser_->header_limit(kHeadLimit);
  if (buffer_.size() > 0) {  // the next request came early; its time counts from here
    firstByte_ = clock_.nowMs();
    state_ = State::kReading;
  }
  const auto self = shared_from_this();
  const auto whole = [self](const boost::system::error_code& error, std::size_t) { self->onRead(error); };
  const auto begin = [self, whole] {
    self->slow_ = self->deadlines_.add(self->clock_.nowMs() + kSlowInputMs, [self] {
      self->slow_.reset();
      if (self->state_ != State::kReading) return;
      self->refuseInput(boost::asio::error::timed_out);
    });
    http::async_read(self->socket_, self->buffer_, *self->parser_, whole);
  };
  if (state_ == State::kReading) return begin();
  socket_.async_read_some(buffer_.prepare(kReadSize),
                          [self, begin](const boost::system::error_code& error, std::size_t count) {
                            if (self->state_ != State::kIdle) return;
                            if (error) return self->shut();
                            self->buffer_.commit(count);
                            self->firstByte_ = self->clock_.nowMs();
                            self->state_ = State::kReading;
                            begin();
                          });
}

void ClientConnection::onRead(const boost::system::error_code& error) {
  if (state_ != State::kReading) return;
  deadlines_.cancel(slow_);
  if (error) return refuseInput(error);
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
  refused_ = true;
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
    if (seen > 0) return;  // a request ahead of its turn
    if (seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return self->watch();
    self->shut();
  });
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
  if (!writes_ && waiting_.empty()) shut();
}

void ClientConnection::closeIdle() {
  if (state_ == State::kIdle) shut();
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
  if (refused_) return linger();
  if (!keepAlive_) return shut();
  idleSince_ = clock_.nowMs();
  // The watch on the answered request must not take the next one's bytes for a close; it ends by itself.
  if (owner_.draining() && buffer_.size() == 0) return shut();
  read();
}

// Closing with input unread would reset the connection and take the 4xx from the client's hands: what it
// still sends is read and dropped for a moment.
void ClientConnection::linger() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  if (!slow_) {
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    slow_ = deadlines_.add(clock_.nowMs() + kLingerMs, [self] {
      self->slow_.reset();
      self->shut();
    });
  }
  buffer_.clear();
  socket_.async_read_some(buffer_.prepare(kReadSize),
                          [self](const boost::system::error_code& error, std::size_t) {
                            if (self->state_ == State::kClosed) return;
                            if (error) return self->shut();
                            self->linger();
                          });
}

void ClientConnection::shut() {
  if (state_ == State::kClosed) return;
  const bool owed = state_ == State::kAnswering || state_ == State::kStreaming || state_ == State::kFlushing;
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
