/// Base64 (RFC 4648, with padding) of the bytes that the protocol carries. An empty text is written
/// as "-".
#pragma once

#include <string>
#include <string_view>

#include "line.h"

namespace inference_router::routing::wire {

std::string encodeBase64(std::string_view bytes);

/// Throws Malformed with the line and the field if the text is no base64.
std::string decodeBase64(std::string_view text, const Line& line, std::size_t field);

}  // namespace inference_router::routing::wire
