/// The answer to a client whose connection is closed right behind it.
#pragma once

#include <string_view>

namespace inference_router::net {

/// Writes what the socket takes at once and drops what has come by now, within bounds: closing over
/// unread bytes would reset the connection and take the answer from the client's hands. The caller
/// closes. False if the socket did not take the whole answer.
[[nodiscard]] bool sendLastAnswer(int descriptor, std::string_view answer);

}  // namespace inference_router::net
