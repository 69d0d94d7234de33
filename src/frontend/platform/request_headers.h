/// Parses the request headers of the platform's protocol.
#pragma once

#include <stdexcept>
#include <string>

#include "inference_router/router.h"
#include "net/message.h"
#include "net/request_reader.h"
#include "settings_parser.h"

namespace inference_router::frontend {

/// Thrown for invalid headers. The message is sent to the client.
class RequestHeaderError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

/// Converts the headers of a request to an arrival. Throws RequestHeaderError.
routing::Arrival arrivalOf(const net::HttpRequest& request, const routing::wire::Vocabulary& names);

/// Returns the headers to forward to the instance: all except those that the router sets itself and
/// hop-by-hop headers. Instances need the client's other headers: for example, deduplication uses a
/// header of the client.
net::Fields forwardedFields(const net::HttpRequest& request);

/// Returns the value of a header; empty if there is none.
std::string headerOf(const net::HttpRequest& request, std::string_view name);

}  // namespace inference_router::frontend
