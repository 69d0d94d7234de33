/// Formatting of HTTP/1.1 messages, and size limits of requests.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace inference_router::net {

/// Largest accepted body and head of a request.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

/// Header names and values, in the order in which they are written.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// Formats a message head, from its first line to the final empty line.
std::string headText(std::string_view firstLine, const Fields& fields);

/// Returns the head with the fields appended.
std::string withFields(std::string head, const Fields& fields);

/// Formats one chunk of a chunked body.
std::string encodeChunk(std::string_view data);
/// Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Formats a time for header fields like Retry-After: whole seconds, rounded up.
std::string wholeSeconds(double ms);

/// The reason phrase of a status code.
std::string_view reasonFor(unsigned status);

}  // namespace inference_router::net
