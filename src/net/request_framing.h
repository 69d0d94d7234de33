/// Check of the framing headers of a request.
#pragma once

#include "net/request_reader.h"

namespace inference_router::net {

/// Guards against request smuggling: if a message has both a length and a transfer coding, or a
/// coding unknown here, other servers may find a different end of its body. Repeated and negative
/// lengths, and "chunked" together with a length, already fail in the parser.
bool hasUnambiguousLength(const HttpRequest& request);

}  // namespace inference_router::net
