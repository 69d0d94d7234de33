#include "net/socket_calls.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace inference_router::net {

namespace {

constexpr std::size_t kDiscardSize = 4096;

bool lacksMemory(int error) {
  return error == ENOBUFS || error == ENOMEM;
}

IoResult failure(int error) {
  if (error == EAGAIN || error == EWOULDBLOCK)
    return {IoStatus::kWouldBlock};
  return {lacksMemory(error) ? IoStatus::kNoResources : IoStatus::kFailed, 0, error};
}

IoResult receiveWith(int descriptor, std::span<char> into, int flags) {
  while (true) {
    const auto count = ::recv(descriptor, into.data(), into.size(), flags | MSG_DONTWAIT);
    if (count > 0)
      return {IoStatus::kDone, static_cast<std::size_t>(count)};
    if (count == 0)
      return {IoStatus::kEnded};
    if (errno != EINTR)
      return failure(errno);
  }
}

AcceptStatus acceptFailure(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptStatus::kNoneWaiting;
    // Linux reports errors that are pending on the new connection through accept().
    case ECONNABORTED:
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ETIMEDOUT:
    case EPERM:
      return AcceptStatus::kAborted;
    case EMFILE:
    case ENFILE:
      return AcceptStatus::kNoDescriptors;
    default:
      return AcceptStatus::kNoResources;
  }
}

}  // namespace

bool isLocalFault(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:  // epoll watch limit
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:  // the routing cache is full
    case ENETUNREACH:
    case ENETDOWN:
    case EACCES:
    case EPERM:
      return true;
    default:
      return false;
  }
}

bool isLocalFault(const boost::system::error_code& error) {
  return error.category() == boost::system::system_category() && isLocalFault(error.value());
}

IoResult peek(int descriptor, std::span<char> into) {
  return receiveWith(descriptor, into, MSG_PEEK);
}

IoResult receive(int descriptor, std::span<char> into) {
  return receiveWith(descriptor, into, 0);
}

IoResult discard(int descriptor, std::size_t bytes) {
  std::array<char, kDiscardSize> dropped;
  std::size_t discarded = 0;
  while (discarded < bytes) {
    const IoResult result =
        receive(descriptor, std::span(dropped).first(std::min(dropped.size(), bytes - discarded)));
    if (result.status != IoStatus::kDone)
      return {result.status, discarded, result.error};
    discarded += result.bytes;
  }
  return {IoStatus::kDone, discarded};
}

IoResult sendAvailable(int descriptor, std::string_view first, std::string_view second) {
  const std::size_t size = first.size() + second.size();
  std::size_t sent = 0;
  while (sent < size) {
    const std::string_view head = first.substr(std::min(sent, first.size()));
    const std::string_view tail = second.substr(sent > first.size() ? sent - first.size() : 0);
    std::array<iovec, 2> parts{{{const_cast<char*>(head.data()), head.size()},
                                {const_cast<char*>(tail.data()), tail.size()}}};
    msghdr message{};
    message.msg_iov = head.empty() ? &parts[1] : parts.data();
    message.msg_iovlen = head.empty() || tail.empty() ? 1 : 2;
    const auto count = ::sendmsg(descriptor, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (count == 0) {
      return {IoStatus::kWouldBlock, sent};
    } else if (errno != EINTR) {
      IoResult result = failure(errno);
      result.bytes = sent;
      return result;
    }
  }
  return {IoStatus::kDone, sent};
}

namespace {

// Returns the requested events, or errors, that hold now.
short pollNow(int descriptor, short events) {
  pollfd entry{descriptor, events, 0};
  int ready = 0;
  do
    ready = ::poll(&entry, 1, 0);
  while (ready < 0 && errno == EINTR);
  return ready > 0 ? entry.revents : short{0};
}

}  // namespace

bool hasPeerClosed(int descriptor) {
  return (pollNow(descriptor, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool hasWaitingConnection(int listeningDescriptor) {
  return (pollNow(listeningDescriptor, POLLIN) & POLLIN) != 0;
}

AcceptResult acceptNext(int listeningDescriptor) {
  while (true) {
    const int descriptor =
        ::accept4(listeningDescriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0)
      return {AcceptStatus::kAccepted, descriptor};
    if (errno != EINTR)
      return {acceptFailure(errno)};
  }
}

boost::system::error_code assign(boost::asio::ip::tcp::socket& socket,
                                 const boost::asio::ip::tcp& protocol,
                                 int descriptor) {
  boost::system::error_code error;
  socket.assign(protocol, descriptor, error);
  if (error)
    ::close(descriptor);
  return error;
}

}  // namespace inference_router::net
