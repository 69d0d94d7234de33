/// Discovery of the soak: an agent on each router's machine, and its watches.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "environment.h"
#include "net/endpoint.h"
#include "net/listener.h"

namespace inference_router::soak {

/// Discovery's agent on one router's machine.
class Agent final : public net::RequestHandler {
 public:
  Agent(Environment& environment, const net::Endpoint& address);
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double arrivedMs) override;
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  /// The whole list, as whoever opens a watch gets it from now on; changes go to the open ones.
  void list(std::string complete, const std::string& changes);
  void down(double forMs);
  net::Endpoint address() const { return listener_.address(); }

 private:
  void beat();

  Environment& environment_;
  std::string whole_;
  std::set<std::shared_ptr<net::ClientConnection>> watches_, waiting_;
  bool down_ = false;
  net::Listener listener_;
};

}  // namespace inference_router::soak
