/// Reads the headers of the platform's protocol, in which a request says what it needs.
#pragma once

#include <stdexcept>
#include <string>

#include "inference_router/router.h"
#include "net/message.h"
#include "net/request_reader.h"
#include "settings_parser.h"

namespace inference_router::frontend {

/// A request whose headers cannot be understood; the text is for its client.
class RequestHeaderError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

/// What the headers of a request say. Throws RequestHeaderError.
routing::Arrival arrivalOf(const net::HttpRequest& request, const routing::wire::Vocabulary& names);

/// What the client says to the instance beyond what the router words anew: a class whose repeats
/// are discarded, for one, is known by a header of its client's. Nothing that is meant for one
/// connection alone goes along.
net::Fields forwardedFields(const net::HttpRequest& request);

/// The value of a header; empty if there is none.
std::string headerOf(const net::HttpRequest& request, std::string_view name);

}  // namespace inference_router::frontend
