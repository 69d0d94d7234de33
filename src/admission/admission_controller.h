/// Decides which client connections are admitted, and which idle connection is evicted when there
/// is no capacity: a token bucket and a cap per address, caps per network, a total, and a reserve
/// for known clients. Every admitted connection has an id until it is closed. No I/O; times in
/// milliseconds.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/descriptor_budget.h"
#include "admission/rules.h"

namespace inference_router::admission {

/// Why a connection was refused.
enum class Reason { kNone, kRate, kAddress, kNetwork, kFull, kReserved, kDescriptors };
constexpr std::size_t kReasons = 7;
/// The name that reports contain.
const char* nameOf(Reason reason);

using ConnectionId = std::uint64_t;

/// The decision on one connection.
struct Decision {
  bool admit = false;
  ConnectionId id = 0;                ///< if admitted
  std::optional<ConnectionId> evict;  ///< idle connection that the caller closes
  Reason reason = Reason::kNone;      ///< if refused
  double retryAfterMs = 0;
};

/// A client address and an upper bound of how often it was refused.
struct RefusalCount {
  std::string address;
  std::uint64_t refusals = 0;
};

/// Admits, refuses and evicts client connections. Memory is bounded by the rules' `table` of
/// addresses and by the connections that are open.
class AdmissionController {
 public:
  explicit AdmissionController(Rules rules) : rules_(std::move(rules)) {}

  /// Decides on a new connection. level: of the descriptor budget. An evicted connection is counted
  /// as closed at once.
  Decision connect(const Address& address, Level level, double nowMs);
  /// Records that the connection authenticated with the API key of this name. From then on it
  /// counts as that of a known client if the rules list the key.
  void identified(ConnectionId id, const std::string& keyName, double nowMs);
  /// Records that a request is in flight on the connection, which protects it from eviction.
  void busy(ConnectionId id);
  /// Records that no request is in flight on the connection.
  void idle(ConnectionId id, double nowMs);
  /// Records that the connection is closed. An unknown id is ignored.
  void closed(ConnectionId id, double nowMs);
  /// Counts a refusal that was decided outside this class.
  void refusedOtherwise(Reason reason, const Address& address);

  /// Changes the rules. Returns the idle connections that exceed the new caps and are to be closed;
  /// busy ones finish their request first.
  std::vector<ConnectionId> reconfigure(Rules rules, double nowMs);

  const Rules& rules() const { return rules_; }
  std::size_t open() const { return connections_.size(); }
  std::size_t unknown() const { return openUnknown_; }
  std::size_t addresses() const { return clients_.size(); }
  std::size_t openFrom(const Address& address) const;
  bool known(ConnectionId id) const;
  std::uint64_t refused(Reason reason) const { return refused_[static_cast<std::size_t>(reason)]; }
  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t evicted() const { return evicted_; }
  /// Sorted by descending count; the counts are upper bounds.
  std::vector<RefusalCount> mostRefused() const;

 private:
  using Recency = std::list<Address>;
  struct Client {
    std::size_t open = 0;
    double tokens = 0;
    double refilledAtMs = 0;
    Recency::iterator recencyEntry;
  };
  struct Connection {
    Address address;
    Address client;
    bool known = false;
    bool busy = false;
    bool inOverflow = false;  // counted in overflow_ instead of clients_
    double idleSinceMs = 0;   // start of the current idle period
  };
  // Ordered by idle time, longest first.
  struct IdleConnection {
    double idleSinceMs = 0;
    ConnectionId id = 0;
    auto operator<=>(const IdleConnection&) const = default;
  };
  using IdleConnections = std::set<IdleConnection>;
  // The number of idle connections of one address.
  struct IdleCount {
    std::size_t connections = 0;
    Address address;
    auto operator<=>(const IdleCount&) const = default;
  };
  // Idle connections by address, and the addresses ranked by their number of idle connections.
  struct IdlePool {
    std::map<Address, IdleConnections> idle;
    std::set<IdleCount> ranking;
  };

  // A client's counts. inOverflow: the address table was full, so that the client is counted
  // together with all others that did not fit.
  struct CountedClient {
    Client& client;
    bool inOverflow;
  };
  CountedClient clientFor(const Address& address, double nowMs);
  void dropInactiveClients(double nowMs);
  std::optional<Decision> refuseByClient(Client& client, const Address& address, double nowMs);
  bool isNetworkFull(const Address& address);
  std::optional<Reason> findShortage(bool known, Level level) const;
  ConnectionId add(const Connection& connection, Client& client);
  void countInNetworks(const Address& address, bool opened);
  double refill(Client& client, double nowMs) const;
  bool isInactive(Client& client, double nowMs) const;
  IdlePool& poolOf(const Connection& connection) {
    return connection.known ? knownIdle_ : unknownIdle_;
  }
  void addIdle(ConnectionId id, const Connection& connection);
  void removeIdle(ConnectionId id, const Connection& connection);
  std::optional<ConnectionId> oldestIdle(const IdlePool& pool, double nowMs) const;
  std::optional<ConnectionId> evictionCandidate(bool forKnown, double nowMs) const;
  void remove(ConnectionId id);
  Decision refuse(Reason reason, const Address& client, double retryAfterMs);
  void countRefusal(const Address& client);
  void rebuildClients();
  void recount(ConnectionId id, Connection connection, double nowMs);
  bool exceedsCaps(const Connection& connection) const;

  Rules rules_;
  std::map<ConnectionId, Connection> connections_;
  std::map<Address, Client> clients_;
  Recency recency_;  // least recently seen first
  // Shared by all addresses that did not fit into clients_; tokens < 0: not used yet.
  Client overflow_{0, -1, 0, {}};
  std::map<std::size_t, std::size_t> openPerNetwork_;  // by index in rules
  IdlePool knownIdle_;
  IdlePool unknownIdle_;
  std::map<Address, std::uint64_t> mostRefused_;
  std::array<std::uint64_t, kReasons> refused_{};
  std::uint64_t admitted_ = 0;
  std::uint64_t evicted_ = 0;
  ConnectionId lastId_ = 0;
  std::size_t openUnknown_ = 0;
};

}  // namespace inference_router::admission
