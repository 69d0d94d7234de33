/// Receiver of the response to a call, and the ways in which a call can fail.
#pragma once

#include <string_view>

#include "net/message.h"
#include "net/response_parser.h"

namespace inference_router::net {

enum class CallFailure {
  /// The request cannot have been executed: its last byte was not written. The instance or the
  /// network is at fault.
  kNoConnection,
  /// The connection broke after the request was written.
  kReset,
  /// The bytes received after the request was written are no valid response, or stop midway.
  kInvalidResponse,
  /// Nothing was sent, and the instance is not at fault: the sink withdrew the call, or this
  /// machine
  /// had no connection available.
  kWithdrawn
};

/// Order of calls: ready, fieldsAsWritten, written, head, body (repeated), then done or failed. No
/// call follows Call::abandon(). All calls are made on the pool's thread.
class CallSink {
 public:
  virtual ~CallSink() = default;
  /// A connection is available. Returning false withdraws the call.
  virtual bool ready() { return true; }
  /// Additional header fields whose values depend on the time of sending. Called right before the
  /// request's first byte is written.
  virtual Fields fieldsAsWritten() { return {}; }
  /// The request's last byte has been written.
  virtual void written() {}
  virtual void head(const ResponseHead&) {}
  /// Part of the body. Returning false stops reading until Call::resume().
  virtual bool body(std::string_view) { return true; }
  /// The response is complete.
  virtual void done() = 0;
  virtual void failed(CallFailure failure) = 0;
};

}  // namespace inference_router::net
