// What the fronts share: which request is under way on which client's connection.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/request_dispatcher.h"
#include "net/client_connection.h"
#include "upstream/http_instance_client.h"

namespace inference_router::frontend {

class Front : public net::RequestHandler {
 public:
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection& connection) override;

 public:
  // Whether `GET /-/ready` says yes; as long as nothing is set it does.
  void readyWhen(std::function<bool()> ready) { ready_ = std::move(ready); }

  // ---- Streams that pass from one process to another ----
  std::shared_ptr<net::ClientConnection> connectionOf(core::RequestKey key) const;
  void leave(net::ClientConnection& connection);
  // Whether this front's answers can be taken up in mid-stream by another process's.
  virtual std::shared_ptr<core::ResponseWriter> adopted(
      const std::shared_ptr<net::ClientConnection>&) {
    return nullptr;
  }
  void adopt(net::ClientConnection& connection, core::RequestKey key) { open_[&connection] = key; }

 protected:
  Front(core::RequestDispatcher& dispatcher, const core::Clock& clock, core::Counters& counters)
      : dispatcher_(dispatcher), clock_(clock), counters_(counters) {}

  // arrivedMs: when the request's first byte was read; the client's patience began no later.
  // False if a request of this id is under way; nothing has been answered then.
  bool submit(net::ClientConnection& connection,
              routing::Arrival arrival,
              double arrivedMs,
              std::shared_ptr<const upstream::ForwardedRequest> payload,
              std::shared_ptr<core::ResponseWriter> responseWriter);
  void answerReady(net::ClientConnection& connection);
  // Every final answer of a front calls this first.
  void over(net::ClientConnection& connection) { open_.erase(&connection); }

  core::RequestDispatcher& dispatcher_;
  const core::Clock& clock_;
  core::Counters& counters_;

 private:
  std::function<bool()> ready_;
  std::map<net::ClientConnection*, core::RequestKey> open_;
};

}  // namespace inference_router::frontend
