#include "admission/gate.h"

#include <algorithm>
#include <cmath>

namespace dahliastall::admission {

namespace {

constexpr double kYoungMs = 100;      // for a new connection, or a new rest, before it has to give way
constexpr std::size_t kLookedAt = 8;  // of the table's oldest, and of addresses with many idle ones
constexpr std::size_t kTop = 16;      // addresses in the list of those refused most
constexpr double kRoomRetryMs = 1'000, kCapRetryMs = 2'000;

}  // namespace

const char* nameOf(Reason reason) {
  constexpr std::array<const char*, kReasons> kNames{"none", "rate",     "address",    "network",
                                                     "full", "reserved", "descriptors"};
  return kNames[static_cast<std::size_t>(reason)];
}

// ---- The table of addresses ------------------------------------------------------------------------

// A clock that jumps back fills nothing; one that jumps ahead fills a bucket and no more.
double Gate::fill(Client& client, double nowMs) const {
  const double gone = std::max(0.0, nowMs - client.filledMs);
  client.tokens = std::min(rules_.burst, client.tokens + gone / 1000 * rules_.perSecond);
  client.filledMs = nowMs;
  return client.tokens;
}

bool Gate::quiet(Client& client, double nowMs) const {
  return client.open == 0 && fill(client, nowMs) >= rules_.burst;
}

Gate::Client& Gate::clientFor(const Address& address, double nowMs, bool& shared) {
  shared = false;
  const auto it = table_.find(address);
  if (it != table_.end()) {
    order_.splice(order_.end(), order_, it->second.place);
    return it->second;
  }
  for (std::size_t i = 0; i < kLookedAt && table_.size() >= rules_.table && !order_.empty(); ++i) {
    const Address oldest = order_.front();
    if (quiet(table_.at(oldest), nowMs)) {
      table_.erase(oldest);
      order_.pop_front();
    } else {
      order_.splice(order_.end(), order_, order_.begin());  // it is looked at again in its turn
    }
  }
  if (table_.size() >= rules_.table) {
    shared = true;
    if (crowd_.tokens < 0) crowd_.tokens = rules_.burst;
    return crowd_;
  }
  Client& fresh = table_[address];
  fresh.tokens = rules_.burst;
  fresh.filledMs = nowMs;
  fresh.place = order_.insert(order_.end(), address);
  return fresh;
}

std::size_t Gate::openFrom(const Address& address) const {
  const auto it = table_.find(rules_.clientOf(address));
  return it == table_.end() ? 0 : it->second.open;
}

bool Gate::known(Visitor visitor) const {
  const auto it = visitors_.find(visitor);
  return it != visitors_.end() && it->second.known;
}

// ---- Idle connections ------------------------------------------------------------------------------

void Gate::toIdle(Visitor visitor, const Guest& guest) {
  Side& side = sideOf(guest);
  Idle& idle = side.idle[guest.client];
  side.ranking.erase({idle.size(), guest.client});
  idle.emplace(guest.sinceMs, visitor);
  side.ranking.emplace(idle.size(), guest.client);
}

void Gate::fromIdle(Visitor visitor, const Guest& guest) {
  Side& side = sideOf(guest);
  const auto it = side.idle.find(guest.client);
  if (it == side.idle.end() || it->second.count({guest.sinceMs, visitor}) == 0) return;
  side.ranking.erase({it->second.size(), guest.client});
  it->second.erase({guest.sinceMs, visitor});
  if (it->second.empty()) side.idle.erase(it);
  else side.ranking.emplace(it->second.size(), guest.client);
}

std::optional<Visitor> Gate::oldestIdle(const Side& side, double nowMs) const {
  std::size_t looked = 0;
  for (auto it = side.ranking.rbegin(); it != side.ranking.rend() && looked < kLookedAt; ++it, ++looked) {
    const auto& [since, visitor] = *side.idle.at(it->second).begin();
    if (nowMs - since >= kYoungMs) return visitor;
  }
  return std::nullopt;
}

std::optional<Visitor> Gate::whoGivesWay(bool forKnown, double nowMs) const {
  const auto stranger = oldestIdle(strangers_, nowMs);
  if (stranger || !forKnown) return stranger;
  return oldestIdle(known_, nowMs);
}

// ---- Decisions -------------------------------------------------------------------------------------

Decision Gate::connect(const Address& address, Level level, double nowMs) {
  const Address client = rules_.clientOf(address);
  const bool known = rules_.knownRange(address) != nullptr;
  bool shared = false;
  Client& counted = clientFor(client, nowMs, shared);
  if (!known) {
    if (fill(counted, nowMs) < 1)
      return refuse(Reason::kRate, client, std::ceil((1 - counted.tokens) / rules_.perSecond * 1000));
    counted.tokens -= 1;
    if (counted.open >= rules_.perAddress) return refuse(Reason::kAddress, client, kCapRetryMs);
  }
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(address) && inNetwork_[i] >= rules_.networks[i].connections)
      return refuse(Reason::kNetwork, client, kCapRetryMs);

  Decision decision;
  const bool full = visitors_.size() >= rules_.total;
  const bool reserved = !known && unknown_ >= rules_.total - rules_.reserve;
  const bool scarce = level == Level::kExhausted || (level == Level::kTight && !known);
  if (full || reserved || scarce) {
    decision.giveWay = whoGivesWay(known, nowMs);
    if (!decision.giveWay) {
      const Reason why = scarce ? Reason::kDescriptors : full ? Reason::kFull : Reason::kReserved;
      return refuse(why, client, kRoomRetryMs);
    }
    ++gaveWay_;
    remove(*decision.giveWay, nowMs);
  }
  decision.admit = true;
  decision.visitor = ++last_;
  ++admitted_;
  ++counted.open;
  if (!known) ++unknown_;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(address)) ++inNetwork_[i];
  const Guest& guest = visitors_[decision.visitor] = {address, client, known, false, shared, nowMs};
  toIdle(decision.visitor, guest);
  return decision;
}

void Gate::identified(Visitor visitor, const std::string& keyName, double) {
  const auto it = visitors_.find(visitor);
  if (it == visitors_.end() || it->second.known || rules_.knownKeys.count(keyName) == 0) return;
  Guest& guest = it->second;
  if (!guest.busy) fromIdle(visitor, guest);
  guest.known = true;
  --unknown_;
  if (!guest.busy) toIdle(visitor, guest);
}

void Gate::busy(Visitor visitor) {
  const auto it = visitors_.find(visitor);
  if (it == visitors_.end() || it->second.busy) return;
  fromIdle(visitor, it->second);
  it->second.busy = true;
}

void Gate::rests(Visitor visitor, double nowMs) {
  const auto it = visitors_.find(visitor);
  if (it == visitors_.end() || !it->second.busy) return;
  it->second.busy = false;
  it->second.sinceMs = nowMs;
  toIdle(visitor, it->second);
}

void Gate::closed(Visitor visitor, double nowMs) { remove(visitor, nowMs); }

void Gate::remove(Visitor visitor, double) {
  const auto it = visitors_.find(visitor);
  if (it == visitors_.end()) return;
  const Guest& guest = it->second;
  if (!guest.busy) fromIdle(visitor, guest);
  if (!guest.known) --unknown_;
  for (std::size_t i = 0; i < rules_.networks.size(); ++i)
    if (rules_.networks[i].range.holds(guest.address)) --inNetwork_[i];
  Client& counted = guest.shared ? crowd_ : table_.at(guest.client);
  --counted.open;
  visitors_.erase(it);
}

// ---- Refusals --------------------------------------------------------------------------------------

Decision Gate::refuse(Reason reason, const Address& client, double retryAfterMs) {
  ++refused_[static_cast<std::size_t>(reason)];
  note(client);
  Decision decision;
  decision.reason = reason;
  decision.retryAfterMs = retryAfterMs;
  return decision;
}

void Gate::refusedOtherwise(Reason reason, const Address& address) {
  refuse(reason, rules_.clientOf(address), 0);
}

// Space-saving: a newcomer takes the place and the count of the least, so counts are never too low.
void Gate::note(const Address& client) {
  const auto it = top_.find(client);
  if (it != top_.end()) {
    ++it->second;
    return;
  }
  std::uint64_t from = 0;
  if (top_.size() >= kTop) {
    const auto least = std::min_element(top_.begin(), top_.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    from = least->second;
    top_.erase(least);
  }
  top_[client] = from + 1;
}

std::vector<std::pair<std::string, std::uint64_t>> Gate::mostRefused() const {
  std::vector<std::pair<std::string, std::uint64_t>> list;
  for (const auto& [address, count] : top_) list.emplace_back(address.text(), count);
  std::stable_sort(list.begin(), list.end(),
                   [](const auto& a, const auto& b) { return a.second > b.second; });
  return list;
}

// ---- Other rules -----------------------------------------------------------------------------------

// Everybody is counted anew by the new rules. Penalties stay: a reload must not forgive a flood.
std::vector<Visitor> Gate::reconfigure(Rules rules, double nowMs) {
  const std::map<Visitor, Guest> guests = std::exchange(visitors_, {});
  const std::map<Address, Client> before = std::exchange(table_, {});
  const std::list<Address> order = std::exchange(order_, {});
  rules_ = std::move(rules);
  known_ = strangers_ = {};
  inNetwork_.clear();
  crowd_.open = unknown_ = 0;
  for (const Address& address : order) {
    if (table_.size() >= rules_.table) break;
    const Address client = rules_.clientOf(address);
    if (table_.count(client) != 0) continue;
    Client& fresh = table_[client];
    fresh.tokens = std::min(before.at(address).tokens, rules_.burst);
    fresh.filledMs = before.at(address).filledMs;
    fresh.place = order_.insert(order_.end(), client);
  }
  std::vector<Visitor> leaving;
  for (const auto& [visitor, old] : guests) {
    Guest guest = old;
    guest.client = rules_.clientOf(guest.address);
    // Who is known by a key stays so for as long as the connection lasts.
    guest.known = old.known || rules_.knownRange(guest.address) != nullptr;
    Client& counted = clientFor(guest.client, nowMs, guest.shared);
    ++counted.open;
    if (!guest.known) ++unknown_;
    for (std::size_t i = 0; i < rules_.networks.size(); ++i)
      if (rules_.networks[i].range.holds(guest.address)) ++inNetwork_[i];
    visitors_[visitor] = guest;
    if (!guest.busy) toIdle(visitor, guest);
  }
  const auto over = [this](const Guest& guest) {
    const Client& counted = guest.shared ? crowd_ : table_.at(guest.client);
    if (!guest.known && counted.open > rules_.perAddress) return true;
    for (std::size_t i = 0; i < rules_.networks.size(); ++i)
      if (rules_.networks[i].range.holds(guest.address) && inNetwork_[i] > rules_.networks[i].connections)
        return true;
    return visitors_.size() > rules_.total || (!guest.known && unknown_ > rules_.total - rules_.reserve);
  };
  for (const auto& [visitor, old] : guests) {
    const Guest& guest = visitors_.at(visitor);
    if (guest.busy || !over(guest)) continue;
    remove(visitor, nowMs);
    leaving.push_back(visitor);
  }
  return leaving;
}

}  // namespace dahliastall::admission
