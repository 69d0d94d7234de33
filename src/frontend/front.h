/// What the front ends share: which request is in flight on which client's connection.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/request_dispatcher.h"
#include "net/client_connection.h"
#include "upstream/http_instance_client.h"

namespace inference_router::frontend {

/// Belongs to the dispatcher's thread; the dispatcher, the clock and the counters outlive it.
class Front : public net::RequestHandler {
 public:
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection& connection) override;

  /// Whether `GET /-/ready` says yes; as long as nothing is set it does.
  void setReadinessCheck(std::function<bool()> isReady) { isReady_ = std::move(isReady); }
  /// The response to a connection's request is about to be ended: every final answer of a front
  /// calls this first.
  void responseFinished(net::ClientConnection& connection) { inFlight_.erase(&connection); }

  // ---- Streams that pass from one process to another ----

  /// The connection of a request in flight; none if there is no such request.
  std::shared_ptr<net::ClientConnection> connectionOf(core::RequestKey key) const;
  /// Lets go of a connection that another process owns now.
  void releaseConnection(net::ClientConnection& connection);
  /// Takes up another process's response in mid-stream; nothing if this front's cannot be.
  virtual std::shared_ptr<core::ResponseWriter> adoptResponse(
      const std::shared_ptr<net::ClientConnection>&) {
    return nullptr;
  }
  void adopt(net::ClientConnection& connection, core::RequestKey key) {
    inFlight_[&connection] = key;
  }

 protected:
  Front(core::RequestDispatcher& dispatcher, const core::Clock& clock, core::Counters& counters)
      : dispatcher_(dispatcher), clock_(clock), counters_(counters) {}

  /// Hands a request to the dispatcher. arrivedMs: when its first byte was read; the client's
  /// patience began no later. False if a request of this id is in flight; nothing has been answered
  /// then.
  bool dispatch(net::ClientConnection& connection,
                routing::Arrival arrival,
                double arrivedMs,
                std::shared_ptr<const upstream::ForwardedRequest> payload,
                std::shared_ptr<core::ResponseWriter> responseWriter);
  void answerReady(net::ClientConnection& connection);

  core::RequestDispatcher& dispatcher_;
  const core::Clock& clock_;
  core::Counters& counters_;

 private:
  std::function<bool()> isReady_;
  std::map<net::ClientConnection*, core::RequestKey> inFlight_;
};

}  // namespace inference_router::frontend
