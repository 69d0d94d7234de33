#include "net/message.h"

#include <array>
#include <charconv>
#include <ostream>
// Boost 1.74 does not bring <ostream> itself.
#include <boost/beast/http/status.hpp>

namespace dahliastall::net {

std::string headText(std::string_view firstLine, const Fields& fields) {
  std::string text(firstLine);
  text += "\r\n";
  for (const auto& [name, value] : fields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string chunkOf(std::string_view part) {
  std::array<char, 16> size{};
  const auto written = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16);
  std::string chunk(size.data(), written.ptr);
  chunk += "\r\n";
  chunk += part;
  chunk += "\r\n";
  return chunk;
}

std::string_view reasonFor(unsigned status) {
  const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  return {reason.data(), reason.size()};
}

}  // namespace dahliastall::net
