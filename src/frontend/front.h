/// The base class of the front ends. Records which request is in flight on which client connection.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/request_dispatcher.h"
#include "net/client_connection.h"
#include "upstream/http_instance_client.h"

namespace inference_router::frontend {

/// Used on the dispatcher's thread only. The dispatcher, the clock and the counters must outlive
/// it.
class Front : public net::RequestHandler {
 public:
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection& connection) override;

  /// Sets the function that decides whether `GET /-/ready` reports ready. Without one it always
  /// does.
  void setReadinessCheck(std::function<bool()> isReady) { isReady_ = std::move(isReady); }
  /// Removes the connection's request from the requests in flight. Must be called before the final
  /// bytes of every response are sent.
  void responseFinished(net::ClientConnection& connection) { inFlight_.erase(&connection); }

  // ---- Hand-over of streams between processes ----

  /// Returns the connection of a request in flight, or null if there is no such request.
  std::shared_ptr<net::ClientConnection> connectionOf(core::RequestKey key) const;
  /// Forgets and releases a connection that another process owns now.
  void releaseConnection(net::ClientConnection& connection);
  /// Returns a writer that continues a response begun by another process, or null if this front
  /// does not support that.
  virtual std::shared_ptr<core::ResponseWriter> adoptResponse(
      const std::shared_ptr<net::ClientConnection>&) {
    return nullptr;
  }
  /// Records an adopted request as in flight on the connection.
  void adopt(net::ClientConnection& connection, core::RequestKey key) {
    inFlight_[&connection] = key;
  }

 protected:
  Front(core::RequestDispatcher& dispatcher, const core::Clock& clock, core::Counters& counters)
      : dispatcher_(dispatcher), clock_(clock), counters_(counters) {}

  /// Submits a request to the dispatcher. arrivedMs: when its first byte was read; the time since
  /// then is subtracted from the request's time left, as the client has been waiting at least that
  /// long. Has not answered if the request was not submitted.
  enum class DispatchResult {
    kSubmitted,
    kIdInUse,     ///< a request with this id is in flight
    kMayHaveRun,  ///< a request with this id may have run, and may not run again
    kNoMemory,    ///< memory is needed for other requests
  };
  DispatchResult dispatch(net::ClientConnection& connection,
                          routing::Arrival arrival,
                          double arrivedMs,
                          std::shared_ptr<upstream::ForwardedRequest> payload,
                          std::shared_ptr<core::ResponseWriter> responseWriter);
  /// Answers `GET /-/ready`.
  void answerReady(net::ClientConnection& connection);

  core::RequestDispatcher& dispatcher_;
  const core::Clock& clock_;
  core::Counters& counters_;

 private:
  bool chargeMemory(upstream::ForwardedRequest& payload);

  std::function<bool()> isReady_;
  std::map<net::ClientConnection*, core::RequestKey> inFlight_;
};

}  // namespace inference_router::frontend
