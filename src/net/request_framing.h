/// Whether everybody reads a request's length the same way.
#pragma once

#include "net/request_reader.h"

namespace inference_router::net {

/// Guards against a request that hides another: what a message with both lengths, or with a coding
/// that is not understood here, holds for its body is read differently elsewhere. Repeated and
/// negative lengths and "chunked" beside a length fail in the parser already.
bool hasUnambiguousLength(const HttpRequest& request);

}  // namespace inference_router::net
