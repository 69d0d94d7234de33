#include "net/client_input.h"

#include <algorithm>
#include <array>
#include <span>

#include "net/message.h"
#include "net/read_ahead_allowance.h"
#include "net/socket_calls.h"
#include "net/socket_input.h"

namespace inference_router::net {

namespace {

// Limit of unread bytes behind a request in progress, and of the bytes that are then read ahead and
// buffered: one request of the maximum size. The kernel reports a client's close only if the unread
// bytes before it fit into the receive buffer. The receive buffer is therefore twice as large, and
// bytes are read ahead from this limit on, or a lower one. Requests that are read but not buffered
// are refused.
constexpr std::size_t kMaxBufferedBytes = kMaxHeadBytes + kMaxBodyBytes;
constexpr std::size_t kReceiveBufferBytes = 2 * kMaxBufferedBytes;
// Bounds one turn, so that a client that never stops sending does not monopolize the event loop.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{2} * 1024 * 1024;  // per allowReadAhead()
constexpr std::size_t kReadSize = std::size_t{64} * 1024;
// Bytes that arrived at least this long ago count from their arrival, other bytes from now: shorter
// delays are normal, and the kernel's clock is coarse.
constexpr double kMinUnreadAgeMs = 100;

}  // namespace

ClientInput::ClientInput(boost::asio::ip::tcp::socket& socket,
                         const core::Clock& clock,
                         const ConnectionLimits& limits)
    : socket_(socket),
      clock_(clock),
      maxUnreadBytes_(std::min(kMaxBufferedBytes, limits.maxUnreadBytes)),
      sharedAllowance_(limits.readAhead),
      incomplete_(limits.memory, core::MemoryUse::kInput),
      readAhead_(limits.memory, core::MemoryUse::kReadAhead) {}

int ClientInput::descriptor() const {
  return socket_.native_handle();
}

// If the kernel grants a smaller buffer than requested, reading ahead begins earlier.
void ClientInput::reserveReceiveBuffer() {
  const std::size_t sureToFit = setReceiveBufferSize(descriptor(), kReceiveBufferBytes);
  readAheadThreshold_ = std::min(maxUnreadBytes_, sureToFit / 2);
}

RequestReader::Progress ClientInput::readRequest(boost::system::error_code& error) {
  recordArrivals();
  return reader_.read(descriptor(), error);
}

HttpRequest ClientInput::takeRequest() {
  arrivals_.remove(reader_.size());
  HttpRequest request = reader_.release();
  reader_.begin();
  incomplete_.resize(0);
  readAhead_.resize(reader_.buffered().size());
  return request;
}

// Small requests are bounded by the number of connections, and all clients send them.
bool ClientInput::chargeIncomplete() {
  const std::size_t bytes = incompleteBytes();
  if (bytes > core::MemoryBudget::kSmallRequestBytes)
    return incomplete_.tryResize(bytes);
  incomplete_.resize(bytes);
  return true;
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

// Unread bytes without those that were already parsed and are not yet removed from the socket.
std::size_t ClientInput::unreadSize() const {
  const std::size_t inSocket = unreadBytes(descriptor());
  return inSocket - std::min(inSocket, reader_.peekedBytes());
}

bool ClientInput::hasNextRequest() const {
  if (shed_)
    return shed_->unanswered() > 0;
  return hasBuffered() || hasUnread();
}

// The poll is a second system call and needed only if unread bytes precede a possible close.
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
  if (readAheadAllowance_ == 0 || (sharedAllowance_ != nullptr && sharedAllowance_->isUsedUp()))
    return ReadAhead::kPause;
  if (!reader_.consumePeeked(descriptor()))
    return ReadAhead::kPause;
  std::array<char, kReadSize> bytes;
  const std::size_t size = std::min(bytes.size(), readAheadAllowance_);
  const IoResult received = receive(descriptor(), std::span(bytes).first(size));
  if (received.status == IoStatus::kNoResources)
    return ReadAhead::kPause;
  if (received.status == IoStatus::kDone) {
    const std::size_t shedBefore = shed_ ? shed_->started() : 0;
    if (keep)
      bufferOrShed({bytes.data(), received.bytes});
    countReadAhead(received.bytes, shedBefore);
  }
  return ReadAhead::kContinue;
}

void ClientInput::countReadAhead(std::size_t bytes, std::size_t shedBefore) {
  readAheadAllowance_ -= bytes;
  if (sharedAllowance_ != nullptr)
    sharedAllowance_->use(bytes, (shed_ ? shed_->started() : 0) - shedBefore);
}

void ClientInput::allowReadAhead() {
  readAheadAllowance_ = kMaxReadAheadBytes;
}

void ClientInput::bufferOrShed(std::string_view bytes) {
  if (shed_)
    return shed_->read(bytes);
  const std::size_t capacity = readAheadCapacity(bytes.size());
  reader_.appendBuffered(bytes.substr(0, capacity));
  if (bytes.size() <= capacity)
    return;
  shed_.emplace();
  shed_->read(reader_.buffered());
  shed_->read(bytes.substr(capacity));
}

// How many of so many more bytes may be buffered.
std::size_t ClientInput::readAheadCapacity(std::size_t bytes) {
  const std::size_t buffered = reader_.buffered().size();
  const std::size_t capacity =
      std::min(bytes, kMaxBufferedBytes - std::min(kMaxBufferedBytes, buffered));
  return readAhead_.tryResize(buffered + capacity) ? capacity : 0;
}

RequestReader::Progress ClientInput::readBuffered(boost::system::error_code& error) {
  return reader_.readBuffered(error);
}

void ClientInput::dropBuffered() {
  arrivals_ = {};
  reader_.dropBuffered();
  reader_.begin();
  incomplete_.resize(0);
  readAhead_.resize(0);
}

// ---- Transfer to another process

// The other process would read bytes a second time that were parsed and are still in the socket.
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
