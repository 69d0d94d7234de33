/// Who receives the response to a call, and the ways in which a call can fail.
#pragma once

#include <string_view>

#include "net/message.h"
#include "net/response_parser.h"

namespace inference_router::net {

enum class CallFailure {
  /// Nothing of it can have run: the request's last byte was not written, and the instance or the
  /// way to it is at fault.
  kNoConnection,
  /// Broken after the request was written.
  kReset,
  /// What came after the request was written cannot be read, or stops midway.
  kInvalidResponse,
  /// Nothing was sent and the instance has no part in it: the sink took the call back, or this
  /// machine had no connection to give.
  kWithdrawn
};

/// Called in this order: ready, fieldsAsWritten, written, head, body..., then done or failed; never
/// after Call::abandon(). All on the thread of the pool.
class CallSink {
 public:
  virtual ~CallSink() = default;
  /// A connection is there; false takes the call back.
  virtual bool ready() { return true; }
  /// Further fields of the request's head whose values depend on when it goes out: asked for right
  /// before its first byte is written.
  virtual Fields fieldsAsWritten() { return {}; }
  /// The request's last byte is out.
  virtual void written() {}
  virtual void head(const ResponseHead&) {}
  /// A part of the body. False: read no more until Call::resume().
  virtual bool body(std::string_view) { return true; }
  /// The response is complete.
  virtual void done() = 0;
  virtual void failed(CallFailure failure) = 0;
};

}  // namespace inference_router::net
