// Decides who may connect, and who gives way. Every connection that is let in has a number here until it is
// closed.
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

namespace dahliastall::admission {

enum class Reason { kNone, kRate, kAddress, kNetwork, kFull, kReserved, kDescriptors };
constexpr std::size_t kReasons = 7;
const char* nameOf(Reason reason);

using ConnectionId = std::uint64_t;

struct Decision {
  bool admit = false;
  ConnectionId id = 0;                // if let in
  std::optional<ConnectionId> evict;  // has to be closed for it
  Reason reason = Reason::kNone;      // if not
  double retryAfterMs = 0;
};

// A client address and how often it was refused, at the most.
struct RefusalCount {
  std::string address;
  std::uint64_t refusals = 0;
};

class AdmissionController {
 public:
  explicit AdmissionController(Rules rules) : rules_(std::move(rules)) {}

  // level: of the descriptors. Whoever is told to give way counts as closed from then on.
  Decision connect(const Address& address, Level level, double nowMs);
  void identified(ConnectionId id, const std::string& keyName, double nowMs);
  void busy(ConnectionId id);                  // a request of it is open
  void idle(ConnectionId id, double nowMs);    // none is
  void closed(ConnectionId id, double nowMs);  // also of one that is not known any more
  void refusedOtherwise(Reason reason, const Address& address);

  // Other rules from now on. Who has to go for them: idle connections above the caps; open requests end
  // first.
  std::vector<ConnectionId> reconfigure(Rules rules, double nowMs);

  const Rules& rules() const { return rules_; }
  std::size_t open() const { return connections_.size(); }
  std::size_t unknown() const { return openUnknown_; }
  std::size_t addresses() const { return clients_.size(); }
  std::size_t openFrom(const Address& address) const;
  bool known(ConnectionId id) const;
  std::uint64_t refused(Reason reason) const { return refused_[static_cast<std::size_t>(reason)]; }
  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t gaveWay() const { return evicted_; }
  std::vector<RefusalCount> mostRefused() const;  // most first; counts at the most

 private:
  struct Client {
    std::size_t open = 0;
    double tokens = 0, filledMs = 0;
    std::list<Address>::iterator place;
  };
  struct Connection {
    Address address, client;
    bool known = false, busy = false, shared = false;  // shared: counted with all that found no place
    double sinceMs = 0;                                // of its rest
  };
  struct IdleConnection {  // the longest idle first
    double sinceMs = 0;
    ConnectionId id = 0;
    auto operator<=>(const IdleConnection&) const = default;
  };
  using Idle = std::set<IdleConnection>;
  struct IdleCount {  // of one address
    std::size_t connections = 0;
    Address address;
    auto operator<=>(const IdleCount&) const = default;
  };
  struct IdlePool {  // known or unknown clients: their idle connections, and who holds most
    std::map<Address, Idle> idle;
    std::set<IdleCount> ranking;
  };

  Client& clientFor(const Address& client, double nowMs, bool& shared);
  double refill(Client& client, double nowMs) const;
  bool isQuiet(Client& client, double nowMs) const;
  IdlePool& poolOf(const Connection& connection) { return connection.known ? knownIdle_ : unknownIdle_; }
  void addIdle(ConnectionId id, const Connection& connection);
  void removeIdle(ConnectionId id, const Connection& connection);
  std::optional<ConnectionId> oldestIdle(const IdlePool& pool, double nowMs) const;
  std::optional<ConnectionId> evictionCandidate(bool forKnown, double nowMs) const;
  void remove(ConnectionId id, double nowMs);
  Decision refuse(Reason reason, const Address& client, double retryAfterMs);
  void countRefusal(const Address& client);

  Rules rules_;
  std::map<ConnectionId, Connection> connections_;
  std::map<Address, Client> clients_;
  std::list<Address> recency_;  // of the table, by when they last came
  Client overflow_{0, -1, 0, {}};
  std::map<std::size_t, std::size_t> openPerNetwork_;  // by its number
  IdlePool knownIdle_, unknownIdle_;
  std::map<Address, std::uint64_t> mostRefused_;
  std::array<std::uint64_t, kReasons> refused_{};
  std::uint64_t admitted_ = 0, evicted_ = 0;
  ConnectionId lastId_ = 0;
  std::size_t openUnknown_ = 0;
};

}  // namespace dahliastall::admission
