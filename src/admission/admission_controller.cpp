#include "admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace inference_router::admission {

namespace {

constexpr double kMinIdleMs = 100;        // a connection is not evicted earlier
constexpr std::size_t kMaxExamined = 8;   // entries examined per decision
constexpr std::size_t kMaxReported = 16;  // addresses in mostRefused()
constexpr double kRoomRetryMs = 1'000, kCapRetryMs = 2'000;

}  // namespace

const char* nameOf(Reason reason) {
  constexpr std::array<const char*, kReasons> kNames{"none", "rate",     "address",    "network",
                                                     "full", "reserved", "descriptors"};
  return kNames[static_cast<std::size_t>(reason)];
}

// ---- The table of addresses
// ------------------------------------------------------------------------

// A clock that jumps back adds no tokens; one that jumps ahead fills the bucket at most.
double AdmissionController::refill(Client& client, double nowMs) const {
  const double gone = std::max(0.0, nowMs - client.filledMs);
  client.tokens = std::min(rules_.burst, client.tokens + gone / 1000 * rules_.perSecond);
  client.filledMs = nowMs;
  return client.tokens;
}

bool AdmissionController::isQuiet(Client& client, double nowMs) const {
  return client.open == 0 && refill(client, nowMs) >= rules_.burst;
}

AdmissionController::Client& AdmissionController::clientFor(const Address& address,
                                                            double nowMs,
                                                            bool& shared) {
  shared = false;
  const auto it = clients_.find(address);
  if (it != clients_.end()) {
    recency_.splice(recency_.end(), recency_, it->second.place);
    return it->second;
  }
  for (std::size_t i = 0; i < kMaxExamined && clients_.size() >= rules_.table && !recency_.empty();
       ++i) {
    const Address oldest = recency_.front();
    if (isQuiet(clients_.at(oldest), nowMs)) {
      clients_.erase(oldest);
      recency_.pop_front();
    } else {
      recency_.splice(recency_.end(), recency_, recency_.begin());  // examined again later
    }
  }
  if (clients_.size() >= rules_.table) {
    shared = true;
    if (overflow_.tokens < 0)
      overflow_.tokens = rules_.burst;
    return overflow_;
  }
  Client& client = clients_[address];
  client.tokens = rules_.burst;
  client.filledMs = nowMs;
  client.place = recency_.insert(recency_.end(), address);
  return client;
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
// ------------------------------------------------------------------------------

void AdmissionController::addIdle(ConnectionId id, const Connection& connection) {
  IdlePool& pool = poolOf(connection);
  Idle& idle = pool.idle[connection.client];
  pool.ranking.erase({idle.size(), connection.client});
  idle.insert({connection.sinceMs, id});
  pool.ranking.insert({idle.size(), connection.client});
}

void AdmissionController::removeIdle(ConnectionId id, const Connection& connection) {
  IdlePool& pool = poolOf(connection);
  const auto it = pool.idle.find(connection.client);
  if (it == pool.idle.end() || it->second.count({connection.sinceMs, id}) == 0)
    return;
  pool.ranking.erase({it->second.size(), connection.client});
  it->second.erase({connection.sinceMs, id});
  if (it->second.empty())
    pool.idle.erase(it);
  else
    pool.ranking.insert({it->second.size(), connection.client});
}

std::optional<ConnectionId> AdmissionController::oldestIdle(const IdlePool& pool,
                                                            double nowMs) const {
  std::size_t looked = 0;
  for (auto it = pool.ranking.rbegin(); it != pool.ranking.rend() && looked < kMaxExamined;
       ++it, ++looked) {
    const auto& [since, id] = *pool.idle.at(it->address).begin();
    if (nowMs - since >= kMinIdleMs)
      return id;
  }
  return std::nullopt;
}

std::optional<ConnectionId> AdmissionController::evictionCandidate(bool forKnown,
                                                                   double nowMs) const {
  const auto unknownCandidate = oldestIdle(unknownIdle_, nowMs);
  if (unknownCandidate || !forKnown)
    return unknownCandidate;
  return oldestIdle(knownIdle_, nowMs);
}

// ---- Decisions
// -------------------------------------------------------------------------------------

Decision AdmissionController::connect(const Address& address, Level level, double nowMs) {
  const Address client = rules_.clientOf(address);
  const bool known = rules_.knownRange(address) != nullptr;
  bool shared = false;
  Client& counted = clientFor(client, nowMs, shared);
  if (!known) {
    if (refill(counted, nowMs) < 1)
      return refuse(Reason::kRate, client,
                    std::ceil((1 - counted.tokens) / rules_.perSecond * 1000));
    counted.tokens -= 1;
    if (counted.open >= rules_.perAddress)
      return refuse(Reason::kAddress, client, kCapRetryMs);
  }
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(address) &&
        openPerNetwork_[i] >= rules_.networks[i].connections)
      return refuse(Reason::kNetwork, client, kCapRetryMs);

  Decision decision;
  const bool full = connections_.size() >= rules_.total;
  const bool reserved = !known && openUnknown_ >= rules_.total - rules_.reserve;
  const bool scarce = level == Level::kExhausted || (level == Level::kTight && !known);
  if (full || reserved || scarce) {
    decision.evict = evictionCandidate(known, nowMs);
    if (!decision.evict) {
      const Reason why = scarce ? Reason::kDescriptors : full ? Reason::kFull : Reason::kReserved;
      return refuse(why, client, kRoomRetryMs);
    }
    ++evicted_;
    remove(*decision.evict, nowMs);
  }
  decision.admit = true;
  decision.id = ++lastId_;
  ++admitted_;
  ++counted.open;
  if (!known)
    ++openUnknown_;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(address))
      ++openPerNetwork_[i];
  const Connection& connection =
      connections_[decision.id] = {address, client, known, false, shared, nowMs};
  addIdle(decision.id, connection);
  return decision;
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
  it->second.sinceMs = nowMs;
  addIdle(id, it->second);
}

void AdmissionController::closed(ConnectionId id, double nowMs) {
  remove(id, nowMs);
}

void AdmissionController::remove(ConnectionId id, double) {
  const auto it = connections_.find(id);
  if (it == connections_.end())
    return;
  const Connection& connection = it->second;
  if (!connection.busy)
    removeIdle(id, connection);
  if (!connection.known)
    --openUnknown_;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(connection.address))
      --openPerNetwork_[i];
  Client& counted = connection.shared ? overflow_ : clients_.at(connection.client);
  --counted.open;
  connections_.erase(it);
}

// ---- Refusals
// --------------------------------------------------------------------------------------

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
  std::uint64_t from = 0;
  if (mostRefused_.size() >= kMaxReported) {
    const auto least =
        std::min_element(mostRefused_.begin(), mostRefused_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    from = least->second;
    mostRefused_.erase(least);
  }
  mostRefused_[client] = from + 1;
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

// ---- Other rules
// -----------------------------------------------------------------------------------

// Rebuilds the table of addresses by the new rules. Token counts are kept: a reload must not
// forgive a flood.
void AdmissionController::rebuildClients() {
  const std::map<Address, Client> before = std::exchange(clients_, {});
  const std::list<Address> order = std::exchange(recency_, {});
  for (const Address& address : order) {
    if (clients_.size() >= rules_.table)
      break;
    const Address client = rules_.clientOf(address);
    if (clients_.count(client) != 0)
      continue;
    Client& entry = clients_[client];
    entry.tokens = std::min(before.at(address).tokens, rules_.burst);
    entry.filledMs = before.at(address).filledMs;
    entry.place = recency_.insert(recency_.end(), client);
  }
}

void AdmissionController::recount(ConnectionId id, Connection connection, double nowMs) {
  connection.client = rules_.clientOf(connection.address);
  // A client that is known by a key stays known for as long as the connection lasts.
  connection.known = connection.known || rules_.knownRange(connection.address) != nullptr;
  Client& counted = clientFor(connection.client, nowMs, connection.shared);
  ++counted.open;
  if (!connection.known)
    ++openUnknown_;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(connection.address))
      ++openPerNetwork_[i];
  connections_[id] = connection;
  if (!connection.busy)
    addIdle(id, connection);
}

bool AdmissionController::exceedsCaps(const Connection& connection) const {
  const Client& counted = connection.shared ? overflow_ : clients_.at(connection.client);
  if (!connection.known && counted.open > rules_.perAddress)
    return true;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(connection.address) &&
        openPerNetwork_.at(i) > rules_.networks[i].connections)
      return true;
  if (connections_.size() > rules_.total)
    return true;
  return !connection.known && openUnknown_ > rules_.total - rules_.reserve;
}

std::vector<ConnectionId> AdmissionController::reconfigure(Rules rules, double nowMs) {
  const std::map<ConnectionId, Connection> connections = std::exchange(connections_, {});
  rules_ = std::move(rules);
  knownIdle_ = unknownIdle_ = {};
  openPerNetwork_.clear();
  overflow_.open = openUnknown_ = 0;
  rebuildClients();
  for (const auto& [id, connection] : connections)
    recount(id, connection, nowMs);
  std::vector<ConnectionId> evicted;
  for (const auto& [id, previous] : connections) {
    const Connection& connection = connections_.at(id);
    if (connection.busy || !exceedsCaps(connection))
      continue;
    remove(id, nowMs);
    evicted.push_back(id);
  }
  return evicted;
}

}  // namespace inference_router::admission
