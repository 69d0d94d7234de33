#include "net/socket_input.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace inference_router::net {

namespace {

// The kernel includes its own overhead in the size of a receive buffer; at least half of the buffer
// is available for data.
constexpr int kKernelOverheadFactor = 2;

}  // namespace

std::size_t unreadBytes(int descriptor) {
  int count = 0;
  return ::ioctl(descriptor, FIONREAD, &count) == 0 && count > 0 ? static_cast<std::size_t>(count)
                                                                 : 0;
}

double msSinceLastReceive(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  const bool known = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known ? info.tcpi_last_data_recv : 0;
}

std::size_t setReceiveBufferSize(int descriptor, std::size_t bytes) {
  const int requested = static_cast<int>(bytes);  // the kernel doubles it for its overhead
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &requested, sizeof requested);
  int granted = 0;
  socklen_t size = sizeof granted;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &granted, &size) != 0)
    return 0;
  return static_cast<std::size_t>(granted / kKernelOverheadFactor);
}

void setReceiveLowWatermark(int descriptor, std::size_t bytes) {
  const int minBytes = static_cast<int>(bytes);
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVLOWAT, &minBytes, sizeof minBytes);
}

}  // namespace inference_router::net
