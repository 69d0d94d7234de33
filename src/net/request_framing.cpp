#include "net/request_framing.h"

namespace inference_router::net {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

}  // namespace

bool hasUnambiguousLength(const HttpRequest& request) {
  const auto codings = request.count(http::field::transfer_encoding);
  if (codings == 0)
    return request.count(http::field::content_length) <= 1;
  return codings == 1 && request.count(http::field::content_length) == 0 &&
         request.version() == kHttp11 &&
         boost::beast::iequals(request[http::field::transfer_encoding], "chunked");
}

}  // namespace inference_router::net
