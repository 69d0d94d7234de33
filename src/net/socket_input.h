/// What the system says of the bytes that stand unread in a connected TCP socket.
#pragma once

#include <cstddef>

namespace inference_router::net {

/// How many bytes stand unread; 0 if the system does not say.
std::size_t unreadBytes(int descriptor);

/// How long ago the last bytes came; 0 if the system does not say.
double msSinceLastReceive(int descriptor);

/// Asks for room for so many unread bytes and gives how many are sure to find it.
std::size_t setReceiveBufferSize(int descriptor, std::size_t bytes);

/// The socket counts as readable only with so many bytes unread, or once its peer has ended.
void setReceiveLowWatermark(int descriptor, std::size_t bytes);

}  // namespace inference_router::net
