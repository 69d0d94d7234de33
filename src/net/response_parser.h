/// Parses one HTTP/1.1 response as its bytes come, skipping interim (1xx) responses ahead of it.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace inference_router::net {

using ResponseHead = boost::beast::http::response_header<>;

class ResponseParser {
 public:
  /// Fails a response whose body, or one chunk of it, is larger.
  explicit ResponseParser(std::uint64_t maxBodyBytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// Takes out of the buffer what can be parsed. False if it is no HTTP: nothing that follows can
  /// be trusted then.
  [[nodiscard]] bool consume(boost::beast::flat_buffer& buffer);

  /// Whether the head is complete; head(), status(), keepAlive() and isChunked() need that.
  bool hasHead() const { return parser_->is_header_done(); }
  const ResponseHead& head() const { return parser_->get().base(); }
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  bool keepAlive() const { return parser_->keep_alive(); }
  bool isChunked() const { return parser_->chunked(); }
  /// What has been parsed of the body since the last call.
  std::string takeBody();
  bool isComplete() const { return parser_->is_done(); }
  int interimResponses() const { return interimResponses_; }

  /// Whether the response stops inside of something that is sent in one piece, with these bytes
  /// left unparsed.
  bool isMidElement(const boost::beast::flat_buffer& unparsed) const;

  /// Bytes of the current chunk that have not come yet.
  std::uint64_t chunkRemaining() const { return announcedBytes_ - receivedBytes_; }
  /// Brings a new parser to where another process's stood: behind the head of a chunked response,
  /// within a chunk of which so many bytes are to come.
  void restore(std::uint64_t chunkRemaining, bool keepAlive);

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  using ChunkHeaderCallback =
      std::function<void(std::uint64_t, boost::beast::string_view, boost::beast::error_code&)>;

  void expectResponse();
  bool skipInterim();

  std::uint64_t maxBodyBytes_;
  ChunkHeaderCallback onChunkHeader_;  // the parser keeps a reference to it
  std::optional<Parser> parser_;
  std::uint64_t announcedBytes_ = 0;  // by the sizes of all chunks so far
  std::uint64_t receivedBytes_ = 0;   // of chunks
  int interimResponses_ = 0;
};

}  // namespace inference_router::net
