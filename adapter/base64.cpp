#include "base64.h"

#include <algorithm>
#include <cstdint>

namespace inference_router::routing::wire {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string encodeBase64(std::string_view bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t block = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      block = block << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i > bytes.size() ? '=' : kAlphabet[block >> (18 - 6 * i) & 63];
    }
  }
  return text.empty() ? "-" : text;
}

std::string decodeBase64(std::string_view text, const Line& line, std::size_t field) {
  std::string bytes;
  if (text == "-")
    return bytes;
  if (text.size() % 4 != 0)
    line.complain(field, "is not base64");
  std::uint32_t block = 0;
  int bits = 0;
  const std::size_t end = std::min(text.find('='), text.size());
  if (text.size() - end > 2)
    line.complain(field, "is not base64");
  for (const char c : text.substr(0, end)) {
    const std::size_t value = kAlphabet.find(c);
    if (value == std::string_view::npos)
      line.complain(field, "is not base64");
    block = block << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8)
      continue;
    bits -= 8;
    bytes += static_cast<char>(block >> bits & 255);
  }
  return bytes;
}

}  // namespace inference_router::routing::wire
