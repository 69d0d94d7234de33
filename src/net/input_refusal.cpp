#include "net/input_refusal.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace inference_router::net {

namespace http = boost::beast::http;

std::optional<InputRefusal> refusalFor(const boost::system::error_code& error) {
  if (error == boost::asio::error::timed_out)
    return InputRefusal{408, "the request took too long to arrive"};
  const bool parsed = error.category() == http::make_error_code(http::error::bad_method).category();
  if (!parsed || error == http::error::end_of_stream || error == http::error::partial_message)
    return std::nullopt;
  if (error == http::error::body_limit)
    return InputRefusal{413, "the body is larger than 256 KiB"};
  if (error == http::error::header_limit)
    return InputRefusal{431, "the head is too large"};
  return InputRefusal{400, "not an HTTP/1.1 request"};
}

}  // namespace inference_router::net
