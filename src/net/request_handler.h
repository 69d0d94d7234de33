/// What stands behind a listener: whoever takes the clients' requests and answers them.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/request_reader.h"

namespace inference_router::net {

class ClientConnection;

/// All calls come on the listener's thread.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Answers through the connection, now or later. arrivedMs: when the request's first byte came.
  virtual void request(const std::shared_ptr<ClientConnection>& connection,
                       HttpRequest&& request,
                       double arrivedMs) = 0;
  /// The client closed, or its connection broke, before the answer was complete.
  virtual void disconnected(ClientConnection& connection) = 0;
  /// The connection takes more of a stream, after writeChunk() returned false.
  virtual void writable(ClientConnection& connection) = 0;
  /// Answers what cannot be understood as a request; the connection closes after the answer.
  virtual void reject(ClientConnection& connection, unsigned status, std::string_view reason) = 0;
  /// The complete response to a connection that is refused before its request was taken.
  virtual std::string refusalResponse(unsigned status,
                                      std::string_view reason,
                                      double retryAfterMs) const;
};

}  // namespace inference_router::net
