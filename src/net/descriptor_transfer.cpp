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

constexpr std::size_t kMostDescriptors = 4;
constexpr std::size_t kMostPeers = 4;
constexpr std::chrono::milliseconds kRetry{20};  // after this machine lacked resources

// The path of a Unix socket is short, that of a folder need not be: it is named by a descriptor of
// the folder.
class Address {
 public:
  Address(const std::string& folder, const std::string& name)
      : folder_(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)) {
    const std::string path = "/proc/self/fd/" + std::to_string(folder_.get()) + "/" + name;
    if (!folder_ || path.size() >= sizeof(address_.sun_path))
      return;
    address_.sun_family = AF_UNIX;
    std::memcpy(address_.sun_path, path.c_str(), path.size() + 1);
    good_ = true;
  }
  bool good() const { return good_; }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address_); }
  static socklen_t size() { return sizeof(sockaddr_un); }

 private:
  Descriptor folder_;
  sockaddr_un address_{};
  bool good_ = false;
};

Descriptor newSocket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Interrupted, a connection within one machine is there or is asked for anew.
bool connectTo(int socket, const Address& address) {
  while (::connect(socket, address.get(), Address::size()) != 0)
    if (errno != EINTR)
      return errno == EISCONN;
  return true;
}

bool sameUser(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == ::geteuid();
}

}  // namespace

Descriptor::~Descriptor() {
  if (value_ >= 0)
    ::close(value_);
}

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this != &other) {
    if (value_ >= 0)
      ::close(value_);
    value_ = other.take();
  }
  return *this;
}

int Descriptor::take() {
  return std::exchange(value_, -1);
}

// ---- Receiving
// ---------------------------------------------------------------------------------------

class DescriptorReceiver::Peer final : public std::enable_shared_from_this<Peer> {
 public:
  Peer(DescriptorReceiver& owner, int socket)
      : owner_(&owner), socket_(owner.io_, socket), retry_(owner.io_) {}

  void wait() {
    socket_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                         if (error || self->owner_ == nullptr)
                           return;
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
      std::string bytes(kLargest, '\0');
      iovec part{bytes.data(), bytes.size()};
      alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int) * kMostDescriptors)> control{};
      msghdr message{};
      message.msg_iov = &part;
      message.msg_iovlen = 1;
      message.msg_control = control.data();
      message.msg_controllen = control.size();
      const auto count =
          ::recvmsg(socket_.native_handle(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return wait();
      ReceivedMessage passed;
      for (cmsghdr* head = CMSG_FIRSTHDR(&message); count >= 0 && head != nullptr;
           head = CMSG_NXTHDR(&message, head)) {
        if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS)
          continue;
        const std::size_t size = (head->cmsg_len - CMSG_LEN(0)) / sizeof(int);
        for (std::size_t i = 0; i < size; ++i) {
          int descriptor = -1;
          std::memcpy(&descriptor, CMSG_DATA(head) + i * sizeof(int), sizeof(int));
          passed.descriptors.emplace_back(descriptor);
        }
      }
      if (count < 0 && (errno == ENOBUFS || errno == ENOMEM))
        return readLater();
      if (count <= 0)
        return leave();
      // Cut off, it means nothing; its descriptors close here.
      if ((message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0)
        continue;
      // Before anything is done with it: whoever sent it keeps it until then, and for good if it
      // does not hear.
      if (!acknowledge())
        return leave();
      bytes.resize(static_cast<std::size_t>(count));
      passed.bytes = std::move(bytes);
      owner_->take_(std::move(passed));
    }
  }

  // Who has ended needs no word and keeps nothing.
  bool acknowledge() {
    while (::send(socket_.native_handle(), "", 1, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
      if (errno != EINTR)
        return errno == EPIPE || errno == ECONNRESET;
    return true;
  }
  void leave() {
    const auto self = shared_from_this();
    owner_->peers_.remove(self);
    close();
  }
  void readLater() {
    retry_.expires_after(kRetry);
    retry_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error && self->owner_ != nullptr)
        self->read();
    });
  }

  DescriptorReceiver* owner_;
  boost::asio::posix::stream_descriptor socket_;
  boost::asio::steady_timer retry_;
};

DescriptorReceiver::DescriptorReceiver(boost::asio::io_context& io,
                                       std::string folder,
                                       const std::string& name,
                                       Take take)
    : io_(io),
      folder_(std::move(folder)),
      name_(name),
      take_(std::move(take)),
      listener_(io),
      retry_(io) {
  const Address address(folder_, name_);
  Descriptor socket = newSocket();
  if (!address.good() || !socket)
    return;
  ::unlink((folder_ + "/" + name_).c_str());  // of a process that had this number before
  if (::bind(socket.get(), address.get(), Address::size()) != 0)
    return;
  ::chmod((folder_ + "/" + name_).c_str(), 0600);
  if (::listen(socket.get(), static_cast<int>(kMostPeers)) != 0)
    return;
  listener_.assign(socket.take());
  accept();
}

DescriptorReceiver::~DescriptorReceiver() {
  for (const auto& peer : peers_)
    peer->close();
  if (isOpen())
    ::unlink((folder_ + "/" + name_).c_str());
}

void DescriptorReceiver::accept() {
  listener_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (error)
                           return;
                         acceptOne();
                       });
}

// A listener that cannot accept stays ready: without a pause it would keep the loop busy.
void DescriptorReceiver::acceptOne() {
  Descriptor socket(
      ::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket && errno != EINTR && errno != EAGAIN && errno != ECONNABORTED) {
    retry_.expires_after(kRetry);
    retry_.async_wait([this](const boost::system::error_code& error) {
      if (!error)
        accept();
    });
    return;
  }
  if (socket && peers_.size() < kMostPeers && sameUser(socket.get())) {
    peers_.push_back(std::make_shared<Peer>(*this, socket.take()));
    peers_.back()->wait();
  }
  accept();
}

// ---- Sending
// -----------------------------------------------------------------------------------------

DescriptorSender::DescriptorSender(const std::string& folder, const std::string& name)
    : socket_(newSocket()) {
  const Address address(folder, name);
  if (!socket_ || !address.good() || !connectTo(socket_.get(), address))
    socket_ = Descriptor();
}

DescriptorSender::Result DescriptorSender::send(const std::string& bytes,
                                                const std::vector<int>& descriptors) {
  if (!isOpen() || bytes.size() > DescriptorReceiver::kLargest ||
      descriptors.size() > kMostDescriptors)
    return Result::kBroken;
  iovec part{const_cast<char*>(bytes.data()), bytes.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int) * kMostDescriptors)> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  if (!descriptors.empty()) {
    message.msg_control = control.data();
    message.msg_controllen = CMSG_SPACE(sizeof(int) * descriptors.size());
    cmsghdr* head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int) * descriptors.size());
    std::memcpy(CMSG_DATA(head), descriptors.data(), sizeof(int) * descriptors.size());
  }
  while (true) {
    const auto count = ::sendmsg(socket_.get(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0)
      return Result::kSent;
    if (errno == EINTR)
      continue;
    // Also too many descriptors on their way: the other process takes them as it gets to run.
    const bool full =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS || errno == ETOOMANYREFS;
    return full ? Result::kFull : Result::kBroken;  // what it had taken before can still be read
  }
}

std::size_t DescriptorSender::taken() {
  std::size_t count = 0;
  char word = 0;
  while (isOpen()) {
    const auto got = ::recv(socket_.get(), &word, 1, MSG_DONTWAIT);
    if (got > 0)
      ++count;
    else if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    // A reset is told once, and ahead of the words that came before it.
    else if (got == 0 || (errno != EINTR && errno != ECONNRESET))
      socket_ = Descriptor();
  }
  return count;
}

}  // namespace inference_router::net
