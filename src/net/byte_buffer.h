/// Buffers of bytes that a connection keeps between two uses.
#pragma once

#include <cstddef>
#include <string>

namespace inference_router::net {

/// Empties the buffer, and gives its memory back unless it is small.
inline void clearBuffer(std::string& buffer) {
  constexpr std::size_t kMaxKeptBytes = std::size_t{4} * 1024;
  buffer.clear();
  if (buffer.capacity() > kMaxKeptBytes)
    buffer = {};
}

}  // namespace inference_router::net
