/// Reads one request at a time from a client's socket, and not a byte of the next one: what stands
/// behind the request stays in the kernel, so that a connection that closes after an answer has
/// read nothing else.
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

/// A part of one connection; never blocks.
class RequestReader {
 public:
  enum class Progress {
    kNothing,      ///< nothing has come
    kIncomplete,   ///< the request has begun and is not whole
    kComplete,     ///< release() gives it
    kFailed,       ///< the connection has ended, or what came is no request: the error says which
    kNoResources,  ///< this machine could not look; the same call may succeed later
  };

  /// Makes ready for the next request.
  void begin();
  /// Reads what has come of the request; never blocks.
  Progress read(int descriptor, boost::system::error_code& error);
  /// The same for carried bytes alone: the socket is not looked at.
  Progress readBuffered(boost::system::error_code& error) { return parse(error); }
  /// The request, once it is complete.
  HttpRequest release() { return parser_->release(); }
  bool keepAlive() const { return parser_->keep_alive(); }
  /// Bytes of the request that are read so far.
  std::size_t size() const { return size_; }
  /// Bytes that are read and could not be taken out of the kernel yet.
  std::size_t peekedBytes() const { return peekedBytes_; }
  /// Takes them out; false while some are left.
  bool consumePeeked(int descriptor);

  /// Bytes that were read before their request's turn, here or by the process that passed the
  /// connection on; they come before those of the socket.
  void appendBuffered(std::string_view bytes) { input_ += bytes; }
  /// Drops them.
  void dropBuffered() { input_.clear(); }
  const std::string& buffered() const { return input_; }

 private:
  Progress parse(boost::system::error_code& error);

  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::size_t size_ = 0;
  std::size_t peekedBytes_ = 0;
  std::string input_;  // read, and not parsed: a head or a chunk's size line that is not whole yet
};

}  // namespace inference_router::net
