/// Discovery of the soak: an agent on each router's machine, and its watches.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery_capacity.h"
#include "environment.h"
#include "net/endpoint.h"
#include "net/listener.h"
#include "plan.h"
#include "unanswered_address.h"

namespace inference_router::soak {

/// The endpoint list in discovery's form, for whoever opens a watch, and its latest changes for the
/// open watches; a line each.
struct ListText {
  std::uint64_t revision = 0;
  std::string complete;
  std::string changes;  ///< empty: nothing is told to open watches
};

/// What a router and its agent had to do with each other.
struct DiscoveryUse {
  std::size_t routerCalls = 0;  ///< that the router began, as its processes counted when they ended
  std::size_t calls = 0;        ///< that reached the agent
  std::size_t listBytes = 0;    ///< of the lists that the agent sent
  std::size_t maxConnections = 0;
  /// From the end of an outage to the first list that was sent after it: the longest.
  std::optional<double> maxReturnDelayMs;
};

/// Discovery's agent on one router's machine, at one address.
class Agent final : public net::RequestHandler {
 public:
  /// capacity: of the discovery behind all agents; has to outlive this one.
  Agent(Environment& environment, DiscoveryCapacity& capacity, net::Endpoint address);
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double arrivedMs) override;
  void disconnected(net::ClientConnection& connection) override;
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;
  /// Replaces the list, and sends the changes to the open watches.
  void list(ListText text);
  /// Goes out of the router's reach for a while. Of outages that overlap, the way of the last one
  /// and the latest end hold.
  void goDown(const DiscoveryOutage& outage, double forMs);
  /// Until then it is out of reach, or was last; 0: it never was.
  double downUntilMs() const { return downUntilMs_; }
  /// Ends the open watches and refuses connections from now on.
  void retire();
  /// The address, also before it listens there.
  const net::Endpoint& address() const { return address_; }
  const DiscoveryUse& use() const { return use_; }

 private:
  using Connection = std::shared_ptr<net::ClientConnection>;

  bool down() const { return fault_ != DiscoveryFault::kNone; }
  void beat();
  void listen();
  void stopListening();
  void endWatches(OpenWatches watches);
  void recover();
  void serve(const Connection& connection, std::uint64_t after);
  void openWatch(const Connection& connection, std::uint64_t after);
  void sendList(const Connection& connection, std::uint64_t after);
  void sendPartialList(const Connection& connection);

  Environment& environment_;
  DiscoveryCapacity& capacity_;
  net::Endpoint address_;
  DiscoveryFault fault_ = DiscoveryFault::kNone;
  ListText list_;
  std::set<Connection> watches_;
  std::map<Connection, std::uint64_t> waiting_;  // calls without an answer, and their revisions
  std::set<Connection> listless_;  // watches that have got an empty line in place of the list
  double downUntilMs_ = 0;
  std::optional<double> returnedMs_;  // end of an outage after which no list has been sent
  DiscoveryUse use_;
  std::unique_ptr<UnansweredAddress> unanswered_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;  // the last one may accept connections
};

}  // namespace inference_router::soak
