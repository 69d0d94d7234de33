// Small helpers for HTTP/1.1 messages on both sides.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace inference_router::net {

inline constexpr std::size_t kBodyLimit = 256 * 1024;
inline constexpr std::size_t kHeadLimit = 16 * 1024;

using Fields = std::vector<std::pair<std::string, std::string>>;

// The bytes of a message's head, from its first line to the empty one.
std::string headText(std::string_view firstLine, const Fields& fields);

// The same head with further fields at its end.
std::string withFields(std::string head, const Fields& fields);

// One chunk of a chunked body.
std::string chunkOf(std::string_view part);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view reasonFor(unsigned status);

}  // namespace inference_router::net
