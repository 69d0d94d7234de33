#include "net/request_reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>

#include "net/byte_buffer.h"
#include "net/head_limits.h"
#include "net/message.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = std::size_t{16} * 1024;

}  // namespace

void RequestReader::begin() {
  parser_.emplace();
  size_ = 0;
  parser_->eager(true);
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeadBytes);
}

// Peeks at the received bytes, parses them, and removes only those of this request from the kernel.
// Peeked bytes of the request count as read, even if removing them fails.
RequestReader::Progress RequestReader::read(int descriptor, boost::system::error_code& error) {
  consumePeeked(descriptor);
  std::array<char, kReadSize> bytes;
  const IoResult peeked = peek(descriptor, bytes);
  if (peeked.status == IoStatus::kNoResources)
    return Progress::kNoResources;
  if (peeked.status == IoStatus::kEnded)
    error = boost::asio::error::eof;
  if (peeked.status == IoStatus::kFailed)
    error.assign(peeked.error, boost::system::system_category());
  if (error)
    return Progress::kFailed;
  const std::size_t alreadyRead = std::min(peekedBytes_, peeked.bytes);
  const std::size_t newBytes = peeked.bytes - alreadyRead;
  input_.append(bytes.data() + alreadyRead, newBytes);
  if (input_.empty())
    return Progress::kNothing;
  const Progress progress = parse(error);
  const std::size_t excessBytes =
      progress == Progress::kComplete ? std::min(input_.size(), newBytes) : 0;
  input_.resize(input_.size() - excessBytes);
  peekedBytes_ += newBytes - excessBytes;
  consumePeeked(descriptor);
  return progress;
}

bool RequestReader::consumePeeked(int descriptor) {
  if (peekedBytes_ > 0)
    peekedBytes_ -= discard(descriptor, peekedBytes_).bytes;
  return peekedBytes_ == 0;
}

RequestReader::Progress RequestReader::parse(boost::system::error_code& error) {
  if (!parser_->is_header_done() && hasTooManyFields(input_)) {
    error = http::error::header_limit;
    return Progress::kFailed;
  }
  std::size_t parsed = 0;
  while (!parser_->is_done() && parsed < input_.size()) {
    const std::size_t used =
        parser_->put(boost::asio::buffer(input_.data() + parsed, input_.size() - parsed), error);
    parsed += used;
    if (error == http::error::need_more) {
      error = {};
      break;
    }
    if (error)
      return Progress::kFailed;
    if (used == 0)
      break;
  }
  input_.erase(0, parsed);
  if (input_.empty())
    clearBuffer(input_);
  size_ += parsed;
  if (parser_->is_done())
    return checkComplete(error);
  // The rest is an incomplete chunk size line or trailer; the parser itself limits the head.
  if (input_.size() > kMaxHeadBytes) {
    error = http::error::bad_chunk;
    return Progress::kFailed;
  }
  return Progress::kIncomplete;
}

// Trailer fields count as fields.
RequestReader::Progress RequestReader::checkComplete(boost::system::error_code& error) const {
  const auto& fields = parser_->get();
  if (static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) <= kMaxFields)
    return Progress::kComplete;
  error = http::error::header_limit;
  return Progress::kFailed;
}

}  // namespace inference_router::net
