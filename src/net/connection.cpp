#include "net/connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>

#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

// Whether written bytes are still in this machine's send buffer because the peer does not read
// them.
bool hasUnsent(int descriptor) {
  int unsent = 0;
  return ::ioctl(descriptor, SIOCOUTQNSD, &unsent) == 0 && unsent > 0;
}

}  // namespace

bool Connection::isReusable() {
  std::array<char, 1> byte{};
  return peek(socket.native_handle(), byte).status == IoStatus::kWouldBlock &&
         !hasUnsent(socket.native_handle());
}

}  // namespace inference_router::net
