#include "net/descriptor_transfer.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

namespace inference_router::net {

namespace {

constexpr std::size_t kMaxDescriptorsPerMessage = 4;
constexpr std::size_t kMaxPeers = 4;
constexpr mode_t kOwnerOnly = 0600;
constexpr std::chrono::milliseconds kRetryDelay{20};  // after the system lacked resources

using ControlBuffer = std::array<char, CMSG_SPACE(sizeof(int) * kMaxDescriptorsPerMessage)>;

/// The address of a socket in a folder. The path of a Unix socket is limited in length, so the
/// folder is referenced through /proc by a descriptor that stays open as long as the address.
class SocketAddress {
 public:
  SocketAddress(const std::string& folder, const std::string& name)
      : folder_(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)) {
    const std::string path = "/proc/self/fd/" + std::to_string(folder_.get()) + "/" + name;
    if (!folder_ || path.size() >= sizeof(address_.sun_path))
      return;
    address_.sun_family = AF_UNIX;
    std::memcpy(address_.sun_path, path.c_str(), path.size() + 1);
    valid_ = true;
  }
  bool valid() const { return valid_; }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address_); }
  static socklen_t size() { return sizeof(sockaddr_un); }

 private:
  FileDescriptor folder_;
  sockaddr_un address_{};
  bool valid_ = false;
};

FileDescriptor newSocket() {
  return FileDescriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool connectTo(int socket, const SocketAddress& address) {
  while (::connect(socket, address.get(), SocketAddress::size()) != 0)
    if (errno != EINTR)
      return errno == EISCONN;  // an interrupted call may have connected
  return true;
}

bool isSameUser(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == ::geteuid();
}

std::vector<FileDescriptor> descriptorsIn(msghdr& message) {
  std::vector<FileDescriptor> descriptors;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS)
      continue;
    const std::size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int descriptor = -1;
      std::memcpy(&descriptor, CMSG_DATA(header) + i * sizeof(int), sizeof(int));
      descriptors.emplace_back(descriptor);
    }
  }
  return descriptors;
}

void attach(const std::vector<int>& descriptors, ControlBuffer& control, msghdr& message) {
  if (descriptors.empty())
    return;
  const std::size_t size = sizeof(int) * descriptors.size();
  message.msg_control = control.data();
  message.msg_controllen = CMSG_SPACE(size);
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(size);
  std::memcpy(CMSG_DATA(header), descriptors.data(), size);
}

enum class ReceiveStatus { kReceived, kTruncated, kNothingYet, kNoResources, kClosed };

ReceiveStatus statusOf(ssize_t count, int error, int flags) {
  if (count > 0)
    return (flags & (MSG_TRUNC | MSG_CTRUNC)) != 0 ? ReceiveStatus::kTruncated
                                                   : ReceiveStatus::kReceived;
  if (count == 0)
    return ReceiveStatus::kClosed;
  if (error == EAGAIN || error == EWOULDBLOCK)
    return ReceiveStatus::kNothingYet;
  if (error == ENOBUFS || error == ENOMEM)
    return ReceiveStatus::kNoResources;
  return ReceiveStatus::kClosed;
}

ReceiveStatus receive(int socket, ReceivedMessage& received) {
  std::string bytes(DescriptorReceiver::kMaxMessageBytes, '\0');
  iovec payload{bytes.data(), bytes.size()};
  alignas(cmsghdr) ControlBuffer control{};
  msghdr message{};
  message.msg_iov = &payload;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  ssize_t count = 0;
  do {
    message.msg_controllen = control.size();
    count = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  } while (count < 0 && errno == EINTR);
  const ReceiveStatus status = statusOf(count, errno, message.msg_flags);
  if (count < 0)
    return status;
  received.descriptors = descriptorsIn(message);
  bytes.resize(static_cast<std::size_t>(count));
  received.bytes = std::move(bytes);
  return status;
}

}  // namespace

// ---- Receiving ----

class DescriptorReceiver::Peer final : public std::enable_shared_from_this<Peer> {
 public:
  Peer(DescriptorReceiver& owner, FileDescriptor socket)
      : owner_(&owner), socket_(owner.io_, socket.release()), readRetryTimer_(owner.io_) {}

  void waitForMessage() {
    socket_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                         if (!error && self->owner_ != nullptr)
                           self->read();
                       });
  }
  void close() {
    owner_ = nullptr;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read() {
    while (owner_ != nullptr) {
      ReceivedMessage message;
      switch (receive(socket_.native_handle(), message)) {
        case ReceiveStatus::kNothingYet:
          return waitForMessage();
        case ReceiveStatus::kNoResources:
          return retryReadLater();
        case ReceiveStatus::kClosed:
          return disconnect();
        case ReceiveStatus::kTruncated:
          continue;  // discarded; its descriptors are closed here
        case ReceiveStatus::kReceived:
          // Acknowledge before handling: the sender stays responsible for the message until the
          // acknowledgement, and for good if the acknowledgement does not reach it.
          if (!acknowledge())
            return disconnect();
          owner_->onMessage_(std::move(message));
      }
    }
  }

  // Returns true also if the sender has exited: it then no longer holds the message.
  bool acknowledge() {
    while (::send(socket_.native_handle(), "", 1, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
      if (errno != EINTR)
        return errno == EPIPE || errno == ECONNRESET;
    return true;
  }
  void disconnect() {
    const auto self = shared_from_this();
    owner_->peers_.remove(self);
    close();
  }
  void retryReadLater() {
    readRetryTimer_.expires_after(kRetryDelay);
    readRetryTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error && self->owner_ != nullptr)
        self->read();
    });
  }

  DescriptorReceiver* owner_;  // null once closed
  boost::asio::posix::stream_descriptor socket_;
  boost::asio::steady_timer readRetryTimer_;
};

DescriptorReceiver::DescriptorReceiver(boost::asio::io_context& io,
                                       std::string folder,
                                       std::string name,
                                       MessageHandler onMessage)
    : io_(io),
      folder_(std::move(folder)),
      name_(std::move(name)),
      onMessage_(std::move(onMessage)),
      listener_(io),
      acceptRetryTimer_(io) {
  listen();
}

DescriptorReceiver::~DescriptorReceiver() {
  for (const auto& peer : peers_)
    peer->close();
  if (isOpen())
    ::unlink(socketPath().c_str());
}

void DescriptorReceiver::listen() {
  const SocketAddress address(folder_, name_);
  FileDescriptor socket = newSocket();
  if (!address.valid() || !socket)
    return;
  ::unlink(socketPath().c_str());  // left by an earlier process with the same id
  if (::bind(socket.get(), address.get(), SocketAddress::size()) != 0)
    return;
  ::chmod(socketPath().c_str(), kOwnerOnly);
  if (::listen(socket.get(), static_cast<int>(kMaxPeers)) != 0)
    return;
  listener_.assign(socket.release());
  accept();
}

void DescriptorReceiver::accept() {
  listener_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (!error)
                           acceptOne();
                       });
}

void DescriptorReceiver::acceptOne() {
  FileDescriptor socket(
      ::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket && errno != EINTR && errno != EAGAIN && errno != ECONNABORTED)
    return retryAcceptLater();
  if (socket && peers_.size() < kMaxPeers && isSameUser(socket.get())) {
    peers_.push_back(std::make_shared<Peer>(*this, std::move(socket)));
    peers_.back()->waitForMessage();
  }
  accept();
}

// A listener that cannot accept stays readable, so an immediate retry would be a busy loop.
void DescriptorReceiver::retryAcceptLater() {
  acceptRetryTimer_.expires_after(kRetryDelay);
  acceptRetryTimer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      accept();
  });
}

// ---- Sending ----

DescriptorSender::DescriptorSender(const std::string& folder, const std::string& name)
    : socket_(newSocket()) {
  const SocketAddress address(folder, name);
  if (!socket_ || !address.valid() || !connectTo(socket_.get(), address))
    socket_ = FileDescriptor();
}

DescriptorSender::Result DescriptorSender::send(const std::string& bytes,
                                                const std::vector<int>& descriptors) {
  if (!isOpen() || bytes.size() > DescriptorReceiver::kMaxMessageBytes ||
      descriptors.size() > kMaxDescriptorsPerMessage)
    return Result::kBroken;
  iovec payload{const_cast<char*>(bytes.data()), bytes.size()};
  alignas(cmsghdr) ControlBuffer control{};
  msghdr message{};
  message.msg_iov = &payload;
  message.msg_iovlen = 1;
  attach(descriptors, control, message);
  while (::sendmsg(socket_.get(), &message, MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
    if (errno == EINTR)
      continue;
    // ETOOMANYREFS: too many descriptors are in flight; the limit clears as the receiver reads
    // them.
    const bool full =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS || errno == ETOOMANYREFS;
    return full ? Result::kFull : Result::kBroken;  // earlier acknowledgements can still be read
  }
  return Result::kSent;
}

std::size_t DescriptorSender::takeAcknowledged() {
  std::size_t count = 0;
  char acknowledgement = 0;
  while (isOpen()) {
    const auto received = ::recv(socket_.get(), &acknowledgement, 1, MSG_DONTWAIT);
    if (received > 0)
      ++count;
    else if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    // A reset is reported once, before the acknowledgements that were received ahead of it.
    else if (received == 0 || (errno != EINTR && errno != ECONNRESET))
      socket_ = FileDescriptor();
  }
  return count;
}

}  // namespace inference_router::net
