/// Incremental parser of one HTTP/1.1 response that skips interim (1xx) responses before it.
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
  /// A response fails if its body, or the size of one of its chunks, exceeds maxBodyBytes.
  explicit ResponseParser(std::uint64_t maxBodyBytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// Parses and removes bytes of the buffer. Returns false if they are not valid HTTP; no later
  /// input can be trusted then.
  [[nodiscard]] bool consume(boost::beast::flat_buffer& buffer);

  /// Whether the head is complete, as head(), status(), keepAlive() and isChunked() require.
  bool hasHead() const { return parser_->is_header_done(); }
  const ResponseHead& head() const { return parser_->get().base(); }
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  bool keepAlive() const { return parser_->keep_alive(); }
  bool isChunked() const { return parser_->chunked(); }
  /// Returns the part of the body that was parsed since the last call.
  std::string takeBody();
  bool isComplete() const { return parser_->is_done(); }
  int interimResponses() const { return interimResponses_; }

  /// Whether the response, with these bytes left unparsed, stops within an element that peers send
  /// without a pause: a head, a chunk, or a body of known length.
  bool isMidElement(const boost::beast::flat_buffer& unparsed) const;

  /// Bytes of the current chunk that have not been received yet.
  std::uint64_t chunkRemaining() const { return announcedBytes_ - receivedBytes_; }
  /// Sets a new parser to the state of another process's: behind the head of a chunked response,
  /// within a chunk of which chunkRemaining bytes are missing.
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
  std::uint64_t announcedBytes_ = 0;  // sum of the announced chunk sizes
  std::uint64_t receivedBytes_ = 0;   // bytes of chunk data received
  int interimResponses_ = 0;
};

}  // namespace inference_router::net
