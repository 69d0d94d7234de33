#include "net/response_parser.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <string_view>
#include <utility>

#include "net/head_limits.h"

namespace inference_router::net {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t kMaxHeadBytes = 32 * 1024;
constexpr int kMaxInterimResponses = 8;
constexpr unsigned kInterimClass = 1;
constexpr unsigned kStatusesPerClass = 100;

std::string_view textOf(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

}  // namespace

ResponseParser::ResponseParser(std::uint64_t maxBodyBytes)
    : maxBodyBytes_(maxBodyBytes),
      onChunkHeader_([this](std::uint64_t size,
                            boost::beast::string_view,
                            boost::beast::error_code&) { announcedBytes_ += size; }) {
  expectResponse();
}

void ResponseParser::expectResponse() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxHeadBytes);
  // Not boost::none: with it Boost 1.74 fails on a body of known length that arrives separately
  // from its head. A chunk that exceeds the limit is rejected by its size line.
  parser_->body_limit(maxBodyBytes_);
  parser_->on_chunk_header(onChunkHeader_);
}

bool ResponseParser::consume(boost::beast::flat_buffer& buffer) {
  boost::system::error_code error;
  while (buffer.size() > 0 && !parser_->is_done()) {
    if (!hasHead() && hasTooManyFields(textOf(buffer)))
      return false;
    const std::size_t used = parser_->put(buffer.data(), error);
    buffer.consume(used);
    if (error == http::error::need_more)
      break;
    if (error)
      return false;
    if (skipInterim()) {
      if (interimResponses_ > kMaxInterimResponses)
        return false;
      continue;
    }
    if (used == 0)
      break;
  }
  // The rest is an incomplete head, chunk size line or trailer.
  return parser_->is_done() || buffer.size() <= kMaxHeadBytes;
}

// Skips interim responses (such as 100, 102 or 103), which must not be taken for the final one.
bool ResponseParser::skipInterim() {
  if (!hasHead() || parser_->get().result_int() / kStatusesPerClass != kInterimClass)
    return false;
  ++interimResponses_;
  expectResponse();
  return true;
}

std::string ResponseParser::takeBody() {
  std::string body = std::exchange(parser_->get().body(), {});
  if (isChunked())
    receivedBytes_ += body.size();
  return body;
}

// The parser consumes the line end of a chunk's data with the next size line, so a line end alone
// does not count as an incomplete element.
bool ResponseParser::isMidElement(const boost::beast::flat_buffer& unparsed) const {
  const std::string_view unread = textOf(unparsed);
  if (!hasHead() || !isChunked())
    return !unread.empty() || (hasHead() && parser_->content_length_remaining().value_or(0) > 0);
  return announcedBytes_ > receivedBytes_ || (!unread.empty() && unread != "\r\n");
}

// The restored chunk starts with one additional byte, since a parser that begins a chunk first
// reads the line end of the previous one.
void ResponseParser::restore(std::uint64_t chunkRemaining, bool keepAlive) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%llx",
                static_cast<unsigned long long>(chunkRemaining) + 1);
  const std::string prefix = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n") +
                             (keepAlive ? "" : "Connection: close\r\n") + "\r\n" + size.data() +
                             "\r\nx";
  boost::system::error_code error;
  for (std::string_view remaining = prefix; !remaining.empty() && !error;) {
    const std::size_t used = parser_->put(boost::asio::buffer(remaining), error);
    if (error == http::error::need_more)
      error = {};
    if (used == 0)
      break;
    remaining.remove_prefix(used);
  }
  receivedBytes_ = parser_->get().body().size();
  parser_->get().body().clear();
}

}  // namespace inference_router::net
