// Token budgets that the fleet shares, lent out in parts. Two sides that never meet but through the store:
// - the conductor spends only below a ceiling that it has written down itself and that was taken by the
// store,
//   and the ceiling lies within what it was lent;
// - the lender gives no more than what is left of the budget once all that is lent, and all that conductors
//   that are gone may have spent, is taken off.
// What was lent and what was returned only ever grow, so an old word of either side errs towards too little.
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shared/tallies.h"

namespace dahliastall::shared {

constexpr std::size_t kMostTenants = 32;  // with a budget

// What a conductor says of one budget, within the period that its word names. Tokens.
struct Spend {
  std::uint64_t spent = 0;     // of answers that have ended
  std::uint64_t reserved = 0;  // the most that those under way may need
  std::uint64_t ceiling = 0;   // spent and reserved together stay within this until another word is taken
  std::uint64_t lentSeen = 0;  // the most that it was told it has been lent, over the period
  std::uint64_t returned = 0;  // of that, over the period
  std::uint64_t wants = 0;     // to have out in all: used, and what its traffic needs ahead
  bool operator==(const Spend&) const = default;
};

struct BudgetTerms {
  double aheadMs = 10'000;  // of its traffic, that a conductor is lent ahead
  double sliceMs = 3'000;   // of its traffic, by which its ceiling lies above what is in use
  double loanMs = 30'000;   // a loan lapses so long after the last word of its conductor that was taken
  double rateMs = 10'000;   // over which its traffic is seen
  // Guards that tests take away one by one.
  bool ceilingFirst = true;  // what was lent is spent only below a ceiling that the store has taken
  bool returnsKept = true;   // what was returned is not spent any more
};

// A promise of the most that one answer may need; ended once.
struct Reservation {
  std::string tenant;
  std::uint64_t tokens = 0;
  std::uint64_t term = 0;  // of the purse: after a change of period or incarnation an old one changes nothing
};

enum class Denial : std::uint8_t {
  kNone,
  kUsedUp,    // nothing of the budget is left for this period
  kNoLoan,    // the fleet may have some left, this conductor has none at hand
  kLapsed,    // it has not been heard for so long that it may spend nothing
  kTooLarge,  // more than the whole budget
};
const char* nameOf(Denial why);

// ---- The conductor's side --------------------------------------------------------------------------------

class Purse {
 public:
  explicit Purse(BudgetTerms terms = {}) : terms_(terms) {}

  // Which franchisees have a budget, by this conductor's own file: without a word of the fleet they get
  // nothing. A changed limit alone changes nothing here.
  void budgets(const std::map<std::string, std::uint64_t>& limits);
  bool bounds(const std::string& tenant) const { return tenants_.count(tenant) != 0; }

  struct Answer {
    Denial denial = Denial::kNone;
    Reservation reservation;
  };
  Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
  // What it came to in the end; more than was reserved counts as it is.
  void settle(const Reservation& reservation, std::uint64_t spent, double nowMs);

  // What the fleet's digest says: the period, what this incarnation was lent in it, and how much of the
  // budget is left to lend. A period that lies before the known one is passed over.
  struct Told {
    std::uint64_t lent = 0, left = 0;
  };
  void told(std::uint64_t period, const std::map<std::string, Told>& lent);

  // Its own word, as it would be written now, and once it was taken: the words sent from then on count. A
  // loan lapses by when the word was begun, which the store cannot have taken earlier. leaving: it takes
  // nothing more, and gives back all that is not in use.
  std::map<std::string, Spend> say(double nowMs, bool leaving = false);
  void taken(std::uint64_t period, const std::map<std::string, Spend>& word, double begunMs);

  // Its part was folded: all that was lent is gone, and what is open stays reckoned there. What was really
  // used goes back with the next word.
  std::map<std::string, std::uint64_t> foldedAway();

  // Something was denied since the last word for want of a loan: a new word is worth writing now.
  bool wanting() const;
  std::uint64_t period() const { return period_; }
  bool lapsed(double nowMs) const { return !takenMs_ || nowMs - *takenMs_ >= terms_.loanMs; }
  struct Seen {
    std::uint64_t spent, reserved, ceiling, lent, returned, left;
  };
  std::map<std::string, Seen> seen() const;

 private:
  struct One {
    Spend word;                 // but for `wants`, as it is now
    std::uint64_t allowed = 0;  // the ceiling that was taken, or a lower one that is being written
    std::uint64_t left = 0;     // of the fleet's budget, as last heard
    std::uint64_t limit = 0;
    double flow = 0, flowMs = 0;  // reserved of late, fading
    std::uint64_t largest = 0;    // of late
    double largestMs = 0;
    bool denied = false;  // since the last word
    std::uint64_t used() const { return word.spent + word.reserved; }
    std::uint64_t out() const { return word.lentSeen > word.returned ? word.lentSeen - word.returned : 0; }
  };
  double flowAt(const One& one, double nowMs) const;
  void demand(One& one, std::uint64_t tokens, double nowMs);

  BudgetTerms terms_;
  std::map<std::string, One> tenants_;
  std::uint64_t period_ = 0, term_ = 0;
  std::optional<double> takenMs_;
};

// ---- The lender's side -----------------------------------------------------------------------------------

// One budget as the digest has it. At each moment charged + lent - returned <= limit, unless the limit itself
// was lowered under that.
struct BudgetLine {
  std::uint64_t limit = 0;
  std::uint64_t charged = 0;             // to conductors that are gone: all that they may have spent
  std::uint64_t left = 0;                // to be lent, as the lender reckoned last
  std::map<Origin, std::uint64_t> lent;  // in this period, to each that may still spend
  bool operator==(const BudgetLine&) const = default;
};

std::uint64_t outOf(const BudgetLine& line, const std::map<Origin, Spend>& words);  // lent and not returned
std::uint64_t leftOf(const BudgetLine& line, const std::map<Origin, Spend>& words);

// Lends what is wanted; where there is too little, whole wishes as far as it goes, of those with least at
// hand first.
void lend(BudgetLine& line, const std::map<Origin, Spend>& words);

// A conductor's part is taken out: its last word is all that it can have spent, and the rest is free again.
void charge(BudgetLine& line, const Origin& gone, const std::optional<Spend>& lastWord);

// What a conductor that was taken for gone really used, in place of what it was charged.
void refund(BudgetLine& line, std::uint64_t charged, std::uint64_t used);

}  // namespace dahliastall::shared
