#include "net/client_input.h"

#include <algorithm>
#include <array>
#include <span>

#include "net/message.h"
#include "net/socket_calls.h"
#include "net/socket_input.h"

namespace inference_router::net {

namespace {

// Bytes that stand unread behind a request whose answer is in progress, and as many of them as are
// buffered once more have come: one of the largest requests that is taken. A client's close shows
// behind unread bytes only while they have room here, and waits in the client's own system
// otherwise: so there is room for twice as many, and from this number on they are read. Each
// request that is read and not buffered gets a refusal.
constexpr std::size_t kMaxBufferedBytes = kMaxHeadBytes + kMaxBodyBytes;
constexpr std::size_t kReceiveBufferBytes = 2 * kMaxBufferedBytes;
// A client that never stops sending must not have the loop to itself.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{2} * 1024 * 1024;  // until allowed again
constexpr std::size_t kReadSize = std::size_t{64} * 1024;
// Bytes that came so long ago stood unread meanwhile; below that it is the usual way of a message,
// and the system's clock is coarse.
constexpr double kMinUnreadAgeMs = 100;

}  // namespace

ClientInput::ClientInput(boost::asio::ip::tcp::socket& socket, const core::Clock& clock)
    : socket_(socket), clock_(clock) {}

int ClientInput::descriptor() const {
  return socket_.native_handle();
}

// The system may grant less room than is asked for: then reading ahead begins the sooner.
void ClientInput::reserveReceiveBuffer() {
  readAheadThreshold_ =
      std::min(kMaxBufferedBytes, setReceiveBufferSize(descriptor(), kReceiveBufferBytes) / 2);
}

RequestReader::Progress ClientInput::readRequest(boost::system::error_code& error) {
  recordArrivals();
  return reader_.read(descriptor(), error);
}

HttpRequest ClientInput::takeRequest() {
  arrivals_.remove(reader_.size());
  HttpRequest request = reader_.release();
  reader_.begin();
  return request;
}

double ClientInput::firstByteMs() const {
  return arrivals_.empty() ? clock_.nowMs() : arrivals_.firstMs();
}

bool ClientInput::recordArrivals() {
  const std::size_t bytes = reader_.size() + reader_.buffered().size() + unreadSize();
  if (bytes <= arrivals_.bytes())
    return false;
  const double agoMs = msSinceLastReceive(descriptor());
  const double unreadMs = agoMs > kMinUnreadAgeMs ? agoMs : 0;
  arrivals_.add(bytes - arrivals_.bytes(), clock_.nowMs() - unreadMs);
  return true;
}

// ---- The socket's state

bool ClientInput::hasUnread() const {
  if (reader_.peekedBytes() > 0)
    return unreadSize() > 0;
  std::array<char, 1> byte{};
  const IoStatus peeked = peek(descriptor(), byte).status;
  return peeked == IoStatus::kDone || peeked == IoStatus::kNoResources;
}

// Of what comes next, without bytes that are read already.
std::size_t ClientInput::unreadSize() const {
  const std::size_t inSocket = unreadBytes(descriptor());
  return inSocket - std::min(inSocket, reader_.peekedBytes());
}

bool ClientInput::hasNextRequest() const {
  if (shed_)
    return shed_->unanswered() > 0;
  return hasBuffered() || hasUnread();
}

// The second question costs another call, and is needed only where bytes stand before an end.
bool ClientInput::isPeerPresent() const {
  std::array<char, 1> byte{};
  const IoStatus peeked = peek(descriptor(), byte).status;
  if (peeked == IoStatus::kEnded || peeked == IoStatus::kFailed)
    return false;
  return peeked == IoStatus::kWouldBlock || !hasPeerClosed(descriptor());
}

void ClientInput::setWakeThreshold(std::size_t unread) {
  if (unread == wakeThreshold_)
    return;
  wakeThreshold_ = unread;
  setReceiveLowWatermark(descriptor(), unread);
}

void ClientInput::wakeOnNextByte() {
  setWakeThreshold(mustReadAhead() ? 1 : unreadBytes(descriptor()) + 1);
}

// ---- Reading ahead

bool ClientInput::mustReadAhead() const {
  return shed_ || reader_.buffered().size() + unreadSize() >= readAheadThreshold_;
}

ClientInput::ReadAhead ClientInput::readAhead(bool keep) {
  if (readAheadAllowance_ == 0)
    return ReadAhead::kPause;
  if (!reader_.consumePeeked(descriptor()))
    return ReadAhead::kPause;
  std::array<char, kReadSize> bytes;
  const std::size_t size = std::min(bytes.size(), readAheadAllowance_);
  const IoResult received = receive(descriptor(), std::span(bytes).first(size));
  if (received.status == IoStatus::kNoResources)
    return ReadAhead::kPause;
  if (received.status == IoStatus::kDone) {
    readAheadAllowance_ -= received.bytes;
    if (keep)
      bufferOrShed({bytes.data(), received.bytes});
  }
  return ReadAhead::kContinue;
}

void ClientInput::allowReadAhead() {
  readAheadAllowance_ = kMaxReadAheadBytes;
}

void ClientInput::bufferOrShed(std::string_view bytes) {
  if (shed_)
    return shed_->read(bytes);
  const std::size_t capacity =
      kMaxBufferedBytes - std::min(kMaxBufferedBytes, reader_.buffered().size());
  reader_.appendBuffered(bytes.substr(0, capacity));
  if (bytes.size() <= capacity)
    return;
  shed_.emplace();
  shed_->read(reader_.buffered());
  shed_->read(bytes.substr(capacity));
}

RequestReader::Progress ClientInput::readBuffered(boost::system::error_code& error) {
  return reader_.readBuffered(error);
}

void ClientInput::dropBuffered() {
  arrivals_ = {};
  reader_.dropBuffered();
  reader_.begin();
}

// ---- Transfer to another process

// Bytes that are read and still stand in the socket would be read a second time there.
bool ClientInput::prepareTransfer() {
  if (shed_ || !reader_.consumePeeked(descriptor()))
    return false;
  recordArrivals();
  return true;
}

void ClientInput::adopt(std::string_view buffered, double sinceMs) {
  reader_.appendBuffered(buffered);
  reserveReceiveBuffer();
  if (sinceMs > 0)
    arrivals_.add(buffered.size() + unreadBytes(descriptor()), sinceMs);
}

}  // namespace inference_router::net
