#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace inference_router::admission {

namespace {

constexpr double kMinIdleMs = 100;                 // idle time before a connection may be evicted
constexpr std::size_t kMaxExaminedEntries = 8;     // bounds the work of one decision
constexpr std::size_t kMaxReportedAddresses = 16;  // in mostRefused()
constexpr double kFullRetryDelayMs = 1'000;        // sent when there is no capacity
constexpr double kCapRetryDelayMs = 2'000;         // sent when a cap is reached
constexpr double kMsPerSecond = 1'000;

}  // namespace

const char* nameOf(Reason reason) {
  constexpr std::array<const char*, kReasons> kNames{"none", "rate",     "address",    "network",
                                                     "full", "reserved", "descriptors"};
  return kNames[static_cast<std::size_t>(reason)];
}

// ---- Address table

// A clock that jumps back adds no tokens; one that jumps ahead fills the bucket but not beyond the
// burst.
double AdmissionController::refill(Client& client, double nowMs) const {
  const double elapsedMs = std::max(0.0, nowMs - client.refilledAtMs);
  client.tokens =
      std::min(rules_.burst, client.tokens + elapsedMs / kMsPerSecond * rules_.perSecond);
  client.refilledAtMs = nowMs;
  return client.tokens;
}

bool AdmissionController::isInactive(Client& client, double nowMs) const {
  return client.open == 0 && refill(client, nowMs) >= rules_.burst;
}

AdmissionController::CountedClient AdmissionController::clientFor(const Address& address,
                                                                  double nowMs) {
  const auto it = clients_.find(address);
  if (it != clients_.end()) {
    recency_.splice(recency_.end(), recency_, it->second.recencyEntry);
    return {it->second, /*inOverflow=*/false};
  }
  dropInactiveClients(nowMs);
  if (clients_.size() >= rules_.table) {
    if (overflow_.tokens < 0)
      overflow_.tokens = rules_.burst;
    return {overflow_, /*inOverflow=*/true};
  }
  Client& client = clients_[address];
  client.tokens = rules_.burst;
  client.refilledAtMs = nowMs;
  client.recencyEntry = recency_.insert(recency_.end(), address);
  return {client, /*inOverflow=*/false};
}

// Frees entries of a full table. Clients that are still active move to the end of the list and are
// examined again later.
void AdmissionController::dropInactiveClients(double nowMs) {
  for (std::size_t i = 0;
       i < kMaxExaminedEntries && clients_.size() >= rules_.table && !recency_.empty(); ++i) {
    const Address oldest = recency_.front();
    if (isInactive(clients_.at(oldest), nowMs)) {
      clients_.erase(oldest);
      recency_.pop_front();
    } else {
      recency_.splice(recency_.end(), recency_, recency_.begin());
    }
  }
}

std::size_t AdmissionController::openFrom(const Address& address) const {
  const auto it = clients_.find(rules_.clientOf(address));
  return it == clients_.end() ? 0 : it->second.open;
}

bool AdmissionController::known(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it != connections_.end() && it->second.known;
}

// ---- Idle connections

void AdmissionController::addIdle(ConnectionId id, const Connection& connection) {
  IdlePool& pool = poolOf(connection);
  IdleConnections& idle = pool.idle[connection.client];
  pool.ranking.erase({idle.size(), connection.client});
  idle.insert({connection.idleSinceMs, id});
  pool.ranking.insert({idle.size(), connection.client});
}

void AdmissionController::removeIdle(ConnectionId id, const Connection& connection) {
  IdlePool& pool = poolOf(connection);
  const auto it = pool.idle.find(connection.client);
  if (it == pool.idle.end() || it->second.count({connection.idleSinceMs, id}) == 0)
    return;
  pool.ranking.erase({it->second.size(), connection.client});
  it->second.erase({connection.idleSinceMs, id});
  if (it->second.empty())
    pool.idle.erase(it);
  else
    pool.ranking.insert({it->second.size(), connection.client});
}

std::optional<ConnectionId> AdmissionController::oldestIdle(const IdlePool& pool,
                                                            double nowMs) const {
  std::size_t examined = 0;
  for (auto it = pool.ranking.rbegin(); it != pool.ranking.rend() && examined < kMaxExaminedEntries;
       ++it, ++examined) {
    const auto& [idleSinceMs, id] = *pool.idle.at(it->address).begin();
    if (nowMs - idleSinceMs >= kMinIdleMs)
      return id;
  }
  return std::nullopt;
}

std::optional<ConnectionId> AdmissionController::evictionCandidate(bool forKnown,
                                                                   double nowMs) const {
  const auto candidate = oldestIdle(unknownIdle_, nowMs);
  if (candidate || !forKnown)
    return candidate;
  return oldestIdle(knownIdle_, nowMs);
}

// ---- Decisions

Decision AdmissionController::connect(const Address& address, Level level, double nowMs) {
  const Address client = rules_.clientOf(address);
  const bool known = rules_.knownRange(address) != nullptr;
  const auto [counted, inOverflow] = clientFor(client, nowMs);
  if (!known) {
    if (const auto refusal = refuseByClient(counted, client, nowMs))
      return *refusal;
  }
  if (isNetworkFull(address))
    return refuse(Reason::kNetwork, client, kCapRetryDelayMs);
  Decision decision;
  if (const auto shortage = findShortage(known, level)) {
    decision.evict = evictionCandidate(known, nowMs);
    if (!decision.evict)
      return refuse(*shortage, client, kFullRetryDelayMs);
    ++evicted_;
    remove(*decision.evict);
  }
  decision.admit = true;
  decision.id = add({address, client, known, /*busy=*/false, inOverflow, nowMs}, counted);
  return decision;
}

std::optional<Decision> AdmissionController::refuseByClient(Client& client,
                                                            const Address& address,
                                                            double nowMs) {
  if (refill(client, nowMs) < 1) {
    const double untilTokenMs = (1 - client.tokens) / rules_.perSecond * kMsPerSecond;
    return refuse(Reason::kRate, address, std::ceil(untilTokenMs));
  }
  client.tokens -= 1;
  if (client.open >= rules_.perAddress)
    return refuse(Reason::kAddress, address, kCapRetryDelayMs);
  return std::nullopt;
}

bool AdmissionController::isNetworkFull(const Address& address) {
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.contains(address) &&
        openPerNetwork_[i] >= rules_.networks[i].connections)
      return true;
  return false;
}

// Returns which limit one more connection would exceed, unless another connection is evicted.
std::optional<Reason> AdmissionController::findShortage(bool known, Level level) const {
  if (level == Level::kExhausted || (level == Level::kTight && !known))
    return Reason::kDescriptors;
  if (connections_.size() >= rules_.total)
    return Reason::kFull;
  if (!known && openUnknown_ >= rules_.total - rules_.reserve)
    return Reason::kReserved;
  return std::nullopt;
}

ConnectionId AdmissionController::add(const Connection& connection, Client& client) {
  const ConnectionId id = ++lastId_;
  ++admitted_;
  ++client.open;
  if (!connection.known)
    ++openUnknown_;
  countInNetworks(connection.address, /*opened=*/true);
  connections_[id] = connection;
  addIdle(id, connection);
  return id;
}

void AdmissionController::countInNetworks(const Address& address, bool opened) {
  for (std::size_t i = 0; i < rules_.networks.size(); ++i) {
    if (!rules_.networks[i].range.contains(address))
      continue;
    if (opened)
      ++openPerNetwork_[i];
    else
      --openPerNetwork_[i];
  }
}

void AdmissionController::identified(ConnectionId id, const std::string& keyName, double) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.known || rules_.knownKeys.count(keyName) == 0)
    return;
  Connection& connection = it->second;
  if (!connection.busy)
    removeIdle(id, connection);
  connection.known = true;
  --openUnknown_;
  if (!connection.busy)
    addIdle(id, connection);
}

void AdmissionController::busy(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.busy)
    return;
  removeIdle(id, it->second);
  it->second.busy = true;
}

void AdmissionController::idle(ConnectionId id, double nowMs) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || !it->second.busy)
    return;
  it->second.busy = false;
  it->second.idleSinceMs = nowMs;
  addIdle(id, it->second);
}

void AdmissionController::closed(ConnectionId id, double) {
  remove(id);
}

void AdmissionController::remove(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end())
    return;
  const Connection& connection = it->second;
  if (!connection.busy)
    removeIdle(id, connection);
  if (!connection.known)
    --openUnknown_;
  countInNetworks(connection.address, /*opened=*/false);
  Client& counted = connection.inOverflow ? overflow_ : clients_.at(connection.client);
  --counted.open;
  connections_.erase(it);
}

// ---- Refusals

Decision AdmissionController::refuse(Reason reason, const Address& client, double retryAfterMs) {
  ++refused_[static_cast<std::size_t>(reason)];
  countRefusal(client);
  Decision decision;
  decision.reason = reason;
  decision.retryAfterMs = retryAfterMs;
  return decision;
}

void AdmissionController::refusedOtherwise(Reason reason, const Address& address) {
  refuse(reason, rules_.clientOf(address), 0);
}

// The space-saving algorithm: a new address replaces the one with the lowest count and inherits the
// count, so counts are never too low.
void AdmissionController::countRefusal(const Address& client) {
  const auto it = mostRefused_.find(client);
  if (it != mostRefused_.end()) {
    ++it->second;
    return;
  }
  std::uint64_t inherited = 0;
  if (mostRefused_.size() >= kMaxReportedAddresses) {
    const auto lowest =
        std::min_element(mostRefused_.begin(), mostRefused_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    inherited = lowest->second;
    mostRefused_.erase(lowest);
  }
  mostRefused_[client] = inherited + 1;
}

std::vector<RefusalCount> AdmissionController::mostRefused() const {
  std::vector<RefusalCount> list;
  for (const auto& [address, count] : mostRefused_)
    list.push_back({address.text(), count});
  std::stable_sort(list.begin(), list.end(),
                   [](const RefusalCount& one, const RefusalCount& other) {
                     return one.refusals > other.refusals;
                   });
  return list;
}

// ---- Reconfiguration

// Rebuilds the address table for the new rules. Token counts are carried over, so that a reload
// does not give a flooding client a full bucket.
void AdmissionController::rebuildClients() {
  const std::map<Address, Client> previousClients = std::exchange(clients_, {});
  const Recency previousRecency = std::exchange(recency_, {});
  for (const Address& address : previousRecency) {
    if (clients_.size() >= rules_.table)
      break;
    const Address client = rules_.clientOf(address);
    if (clients_.count(client) != 0)
      continue;
    Client& entry = clients_[client];
    entry.tokens = std::min(previousClients.at(address).tokens, rules_.burst);
    entry.refilledAtMs = previousClients.at(address).refilledAtMs;
    entry.recencyEntry = recency_.insert(recency_.end(), client);
  }
}

void AdmissionController::recount(ConnectionId id, Connection connection, double nowMs) {
  connection.client = rules_.clientOf(connection.address);
  // A client that is known by its API key stays known until the connection closes.
  connection.known = connection.known || rules_.knownRange(connection.address) != nullptr;
  const CountedClient counted = clientFor(connection.client, nowMs);
  connection.inOverflow = counted.inOverflow;
  ++counted.client.open;
  if (!connection.known)
    ++openUnknown_;
  countInNetworks(connection.address, /*opened=*/true);
  connections_[id] = connection;
  if (!connection.busy)
    addIdle(id, connection);
}

bool AdmissionController::exceedsCaps(const Connection& connection) const {
  const Client& counted = connection.inOverflow ? overflow_ : clients_.at(connection.client);
  if (!connection.known && counted.open > rules_.perAddress)
    return true;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.contains(connection.address) &&
        openPerNetwork_.at(i) > rules_.networks[i].connections)
      return true;
  if (connections_.size() > rules_.total)
    return true;
  return !connection.known && openUnknown_ > rules_.total - rules_.reserve;
}

std::vector<ConnectionId> AdmissionController::reconfigure(Rules rules, double nowMs) {
  const std::map<ConnectionId, Connection> connections = std::exchange(connections_, {});
  rules_ = std::move(rules);
  knownIdle_ = {};
  unknownIdle_ = {};
  openPerNetwork_.clear();
  overflow_.open = 0;
  openUnknown_ = 0;
  rebuildClients();
  for (const auto& [id, connection] : connections)
    recount(id, connection, nowMs);
  std::vector<ConnectionId> evicted;
  for (const auto& [id, previous] : connections) {
    const Connection& connection = connections_.at(id);
    if (connection.busy || !exceedsCaps(connection))
      continue;
    remove(id);
    evicted.push_back(id);
  }
  return evicted;
}

}  // namespace inference_router::admission
