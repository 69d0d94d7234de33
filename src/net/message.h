/// Builds the text of HTTP/1.1 messages, and bounds the size of requests.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace inference_router::net {

/// Of a request that is taken.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

/// Names and values, in the order in which they are written.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// The bytes of a message's head, from its first line to the empty one.
std::string headText(std::string_view firstLine, const Fields& fields);

/// The same head with further fields at its end.
std::string withFields(std::string head, const Fields& fields);

/// One chunk of a chunked body.
std::string encodeChunk(std::string_view data);
/// Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A time as fields like Retry-After give it: whole seconds, rounded up.
std::string wholeSeconds(double ms);

/// The reason phrase of a status.
std::string_view reasonFor(unsigned status);

}  // namespace inference_router::net
