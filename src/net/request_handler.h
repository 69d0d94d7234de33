/// Interface of the component that answers the requests of a listener's clients.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/request_reader.h"

namespace inference_router::net {

class ClientConnection;

/// All calls are made on the listener's thread.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Answers through the connection, at once or later. arrivedMs: arrival of the request's first
  /// byte.
  virtual void request(const std::shared_ptr<ClientConnection>& connection,
                       HttpRequest&& request,
                       double arrivedMs) = 0;
  /// The client disconnected before the answer was complete.
  virtual void disconnected(ClientConnection& connection) = 0;
  /// The connection accepts more output after writeChunk() returned false.
  virtual void writable(ClientConnection& connection) = 0;
  /// Answers invalid input, or a request that was shed.
  virtual void reject(ClientConnection& connection, unsigned status, std::string_view reason) = 0;
  /// The complete response to a client that is refused before its request was read.
  virtual std::string refusalResponse(unsigned status,
                                      std::string_view reason,
                                      double retryAfterMs) const;
};

}  // namespace inference_router::net
