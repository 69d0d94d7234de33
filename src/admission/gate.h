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

#include "admission/ledger.h"
#include "admission/rules.h"

namespace dahliastall::admission {

enum class Reason { kNone, kRate, kAddress, kNetwork, kFull, kReserved, kDescriptors };
constexpr std::size_t kReasons = 7;
const char* nameOf(Reason reason);

using Visitor = std::uint64_t;

struct Decision {
  bool admit = false;
  Visitor visitor = 0;             // if let in
  std::optional<Visitor> giveWay;  // has to be closed for it
  Reason reason = Reason::kNone;   // if not
  double retryAfterMs = 0;
};

class Gate {
 public:
  explicit Gate(Rules rules) : rules_(std::move(rules)) {}

  // level: of the descriptors. Whoever is told to give way counts as closed from then on.
  Decision connect(const Address& address, Level level, double nowMs);
  void identified(Visitor visitor, const std::string& keyName, double nowMs);
  void busy(Visitor visitor);                  // a request of it is open
  void rests(Visitor visitor, double nowMs);   // none is
  void closed(Visitor visitor, double nowMs);  // also of one that is not known any more
  void refusedOtherwise(Reason reason, const Address& address);

  // Other rules from now on. Who has to go for them: idle connections above the caps; open requests end
  // first.
  std::vector<Visitor> reconfigure(Rules rules, double nowMs);

  const Rules& rules() const { return rules_; }
  std::size_t open() const { return visitors_.size(); }
  std::size_t unknown() const { return unknown_; }
  std::size_t addresses() const { return table_.size(); }
  std::size_t openFrom(const Address& address) const;
  bool known(Visitor visitor) const;
  std::uint64_t refused(Reason reason) const { return refused_[static_cast<std::size_t>(reason)]; }
  std::uint64_t admitted() const { return admitted_; }
  std::uint64_t gaveWay() const { return gaveWay_; }
  std::vector<std::pair<std::string, std::uint64_t>> mostRefused() const;  // most first; counts at the most

 private:
  struct Client {
    std::size_t open = 0;
    double tokens = 0, filledMs = 0;
    std::list<Address>::iterator place;
  };
  struct Guest {
    Address address, client;
    bool known = false, busy = false, shared = false;  // shared: counted with all that found no place
    double sinceMs = 0;                                // of its rest
  };
  using Idle = std::set<std::pair<double, Visitor>>;
  struct Side {  // known or unknown clients: their idle connections, and who holds most
    std::map<Address, Idle> idle;
    std::set<std::pair<std::size_t, Address>> ranking;
  };

  Client& clientFor(const Address& client, double nowMs, bool& shared);
  double fill(Client& client, double nowMs) const;
  bool quiet(Client& client, double nowMs) const;
  Side& sideOf(const Guest& guest) { return guest.known ? known_ : strangers_; }
  void toIdle(Visitor visitor, const Guest& guest);
  void fromIdle(Visitor visitor, const Guest& guest);
  std::optional<Visitor> oldestIdle(const Side& side, double nowMs) const;
  std::optional<Visitor> whoGivesWay(bool forKnown, double nowMs) const;
  void remove(Visitor visitor, double nowMs);
  Decision refuse(Reason reason, const Address& client, double retryAfterMs);
  void note(const Address& client);

  Rules rules_;
  std::map<Visitor, Guest> visitors_;
  std::map<Address, Client> table_;
  std::list<Address> order_;  // of the table, by when they last came
  Client crowd_{0, -1, 0, {}};
  std::map<std::size_t, std::size_t> inNetwork_;  // by its number
  Side known_, strangers_;
  std::map<Address, std::uint64_t> top_;
  std::array<std::uint64_t, kReasons> refused_{};
  std::uint64_t admitted_ = 0, gaveWay_ = 0;
  Visitor last_ = 0;
  std::size_t unknown_ = 0;
};

}  // namespace dahliastall::admission
