#include "net/request_reader.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>

#include "net/message.h"

namespace dahliastall::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
using Part = std::array<char, kReadSize>;

bool nothingYet(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

void RequestReader::begin() {
  parser_.emplace();
  size_ = 0;
  parser_->eager(true);
  parser_->body_limit(kBodyLimit);
  parser_->header_limit(kHeadLimit);
}

// Looks at what has come first, and takes out of the kernel what turned out to be of this request.
RequestReader::Progress RequestReader::read(int descriptor, boost::system::error_code& error) {
  Part part;
  const auto seen = ::recv(descriptor, part.data(), part.size(), MSG_PEEK | MSG_DONTWAIT);
  if (seen == 0) error = boost::asio::error::eof;
  if (seen < 0 && !nothingYet(errno)) error.assign(errno, boost::system::system_category());
  if (error) return Progress::kFailed;
  const std::size_t come = seen > 0 ? static_cast<std::size_t>(seen) : 0;
  input_.append(part.data(), come);
  if (input_.empty()) return Progress::kNothing;
  const Progress progress = parse(error);
  const std::size_t behind = progress == Progress::kWhole ? std::min(input_.size(), come) : 0;
  input_.resize(input_.size() - behind);
  if (come > behind) ::recv(descriptor, part.data(), come - behind, MSG_DONTWAIT);
  return progress;
}

RequestReader::Progress RequestReader::parse(boost::system::error_code& error) {
  std::size_t parsed = 0;
  while (!parser_->is_done() && parsed < input_.size()) {
    const std::size_t used =
        parser_->put(boost::asio::buffer(input_.data() + parsed, input_.size() - parsed), error);
    parsed += used;
    if (error == http::error::need_more) {
      error = {};
      break;
    }
    if (error) return Progress::kFailed;
    if (used == 0) break;
  }
  input_.erase(0, parsed);
  size_ += parsed;
  return parser_->is_done() ? Progress::kWhole : Progress::kPart;
}

}  // namespace dahliastall::net
