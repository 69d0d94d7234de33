/// Information and settings of the kernel's receive buffer of a connected TCP socket.
#pragma once

#include <cstddef>

namespace inference_router::net {

/// Number of unread bytes; 0 if unknown.
std::size_t unreadBytes(int descriptor);

/// Milliseconds since the last bytes were received; 0 if unknown.
double msSinceLastReceive(int descriptor);

/// Requests a receive buffer for this many unread bytes. Returns how many bytes are sure to fit.
std::size_t setReceiveBufferSize(int descriptor, std::size_t bytes);

/// Makes the socket readable only once this many bytes are unread, or the peer has closed.
void setReceiveLowWatermark(int descriptor, std::size_t bytes);

}  // namespace inference_router::net
