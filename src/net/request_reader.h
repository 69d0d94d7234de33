/// Reads one request at a time from a client's socket without any byte of the next one. Bytes
/// behind the request stay in the kernel, so that nothing else has been read when the connection
/// closes after the answer.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace inference_router::net {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Owned by one connection. Never blocks.
class RequestReader {
 public:
  enum class Progress {
    kNothing,      ///< no byte has been received
    kIncomplete,   ///< the request has begun and is incomplete
    kComplete,     ///< release() returns the request
    kFailed,       ///< the connection has ended or the input is invalid, as the error tells
    kNoResources,  ///< this machine lacks resources; the same call may succeed later
  };

  /// Prepares for the next request.
  void begin();
  /// Reads the received bytes of the request.
  Progress read(int descriptor, boost::system::error_code& error);
  /// Parses buffered bytes only; the socket is not read.
  Progress readBuffered(boost::system::error_code& error) { return parse(error); }
  /// The request, once it is complete.
  HttpRequest release() { return parser_->release(); }
  bool keepAlive() const { return parser_->keep_alive(); }
  /// Bytes of the request that were parsed so far.
  std::size_t size() const { return size_; }
  /// Bytes that were read and could not be removed from the kernel yet.
  std::size_t peekedBytes() const { return peekedBytes_; }
  /// Removes the peeked bytes from the kernel; returns false while some are left.
  bool consumePeeked(int descriptor);

  /// Appends bytes that were read ahead of their request, here or by the process that handed over
  /// the connection. They precede the bytes of the socket.
  void appendBuffered(std::string_view bytes) { input_ += bytes; }
  /// Discards the buffered bytes.
  void dropBuffered() { input_ = {}; }
  /// Discards the part of the body that was parsed so far.
  void dropBody() { parser_->get().body() = {}; }
  /// Size of the part of the body that was parsed so far.
  std::size_t bodyBytes() const { return parser_ ? parser_->get().body().size() : 0; }
  const std::string& buffered() const { return input_; }

 private:
  Progress parse(boost::system::error_code& error);
  Progress checkComplete(boost::system::error_code& error) const;

  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::size_t size_ = 0;
  std::size_t peekedBytes_ = 0;
  std::string input_;  // read but not parsed, such as an incomplete head or chunk size line
};

}  // namespace inference_router::net
