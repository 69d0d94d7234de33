/// Limits of what may precede a body: header fields, chunk size lines and trailers. The parser
/// allocates memory for each field and waits for the end of a line or trailer of any length, so
/// both are limited before it sees them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace inference_router::net {

/// Header fields, and trailer fields with them, of one message.
inline constexpr std::size_t kMaxFields = 100;

/// Whether the text, which starts with the first line of a message, has more than kMaxFields fields
/// in its head.
inline bool hasTooManyFields(std::string_view text) {
  const std::size_t end = text.find("\r\n\r\n");
  const std::string_view head = text.substr(0, end);
  const auto lineEnds = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
  const std::size_t endOfFirstLine = end == std::string_view::npos ? 1 : 0;
  return lineEnds > kMaxFields + endOfFirstLine;
}

}  // namespace inference_router::net
