/// Discovery of the soak: an agent on each router's machine, and its watches.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "environment.h"
#include "net/endpoint.h"
#include "net/listener.h"
#include "plan.h"

namespace inference_router::soak {

/// The endpoint list in discovery's form, for whoever opens a watch, and its latest changes for the
/// open watches; a line each.
struct ListText {
  std::uint64_t revision = 0;
  std::string complete;
  std::string changes;  ///< empty: nothing is told to open watches
};

/// Discovery's agent on one router's machine, at one address.
class Agent final : public net::RequestHandler {
 public:
  /// Listens at once unless its connections are to be refused until the fault ends.
  Agent(Environment& environment,
        const net::Endpoint& address,
        DiscoveryFault fault = DiscoveryFault::kNone);
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double arrivedMs) override;
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  /// Replaces the list, and sends the changes to the open watches.
  void list(ListText text);
  /// Resets the open watches, and answers no call for a while.
  void down(double forMs);
  /// Until then it is down, or was last; 0: it never was.
  double downUntilMs() const { return downUntilMs_; }
  /// Ends the fault that it was made with.
  void recover();
  /// Resets the open watches and refuses connections from now on.
  void retire();
  /// The address, also before it listens there.
  const net::Endpoint& address() const { return address_; }

 private:
  using Connections = std::set<std::shared_ptr<net::ClientConnection>>;

  void beat();
  void answerWaiting();
  void openWatch(const std::shared_ptr<net::ClientConnection>& connection, std::uint64_t after);

  Environment& environment_;
  net::Endpoint address_;
  DiscoveryFault fault_;
  ListText list_;
  Connections watches_;
  Connections waiting_;   // calls without an answer
  Connections listless_;  // watches that have got an empty line in place of the list
  bool down_ = false;
  double downUntilMs_ = 0;
  net::Listener listener_;
};

}  // namespace inference_router::soak
