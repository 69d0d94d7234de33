#include "net/message.h"

#include <array>
#include <charconv>
#include <cmath>
#include <ostream>
// Boost 1.74 does not include <ostream> itself.
#include <boost/beast/http/status.hpp>

namespace inference_router::net {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

void append(std::string& text, const Fields& fields) {
  for (const auto& [name, value] : fields) {
    text += name;
    text += ": ";
    text += value;
    text += kLineEnd;
  }
}

}  // namespace

std::string headText(std::string_view firstLine, const Fields& fields) {
  std::string text(firstLine);
  text += kLineEnd;
  append(text, fields);
  text += kLineEnd;
  return text;
}

std::string withFields(std::string head, const Fields& fields) {
  head.resize(head.size() - kLineEnd.size());  // without the final empty line
  append(head, fields);
  head += kLineEnd;
  return head;
}

std::string encodeChunk(std::string_view data) {
  std::array<char, 16> size{};
  const auto written = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
  std::string chunk(size.data(), written.ptr);
  chunk += "\r\n";
  chunk += data;
  chunk += "\r\n";
  return chunk;
}

std::string wholeSeconds(double ms) {
  constexpr double kMsPerSecond = 1'000;
  return std::to_string(static_cast<long>(std::ceil(ms / kMsPerSecond)));
}

std::string_view reasonFor(unsigned status) {
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  return {reason.data(), reason.size()};
}

}  // namespace inference_router::net
