/// Sends the last answer on a connection that is closed right after it.
#pragma once

#include <string_view>

namespace inference_router::net {

/// Writes what the socket accepts without blocking and discards a bounded amount of received bytes:
/// closing with unread bytes would reset the connection, and the client could lose the answer. The
/// caller closes the socket. Returns false if the socket did not accept the whole answer.
[[nodiscard]] bool sendLastAnswer(int descriptor, std::string_view answer);

}  // namespace inference_router::net
