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

#include "shared/usage_counters.h"

namespace dahliastall::shared {

constexpr std::size_t kMaxTenants = 32;  // with a budget

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

struct BudgetConfig {
  double prefetchMs = 10'000;  // of its traffic, that a conductor is lent ahead
  double ceilingMs = 3'000;    // of its traffic, by which its ceiling lies above what is in use
  double loanMs = 30'000;      // a loan lapses so long after the last word of its conductor that was taken
  double rateMs = 10'000;      // over which its traffic is seen
  // Guards that tests take away one by one.
  bool ceilingFirst = true;  // what was lent is spent only below a ceiling that the store has taken
  bool returnsKept = true;   // what was returned is not spent any more
};

// A promise of the most that one answer may need; ended once.
struct Reservation {
  std::string tenant;
  std::uint64_t tokens = 0;
  std::uint64_t epoch =
      0;  // of the purse: after a change of period or incarnation an old one changes nothing
};

enum class Denial : std::uint8_t {
  kNone,
  kUsedUp,       // nothing of the budget is left for this period
  kNoLoan,       // the fleet may have some left, this conductor has none at hand
  kLoanExpired,  // it has not been heard for so long that it may spend nothing
  kTooLarge,     // more than the whole budget
};
const char* nameOf(Denial why);

// ---- The conductor's side --------------------------------------------------------------------------------

class TokenBudgets {
 public:
  explicit TokenBudgets(BudgetConfig config = {}) : config_(config) {}

  // Which franchisees have a budget, by this conductor's own file: without a word of the fleet they get
  // nothing. A changed limit alone changes nothing here.
  void setLimits(const std::map<std::string, std::uint64_t>& limits);
  bool isLimited(const std::string& tenant) const { return tenants_.count(tenant) != 0; }

  struct Answer {
    Denial denial = Denial::kNone;
    Reservation reservation;
  };
  Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
  // What it came to in the end; more than was reserved counts as it is.
  void settle(const Reservation& reservation, std::uint64_t spent, double nowMs);

  // What the fleet's digest says: the period, what this incarnation was lent in it, and how much of the
  // budget is left to lend. A period that lies before the known one is passed over.
  struct LoanUpdate {
    std::uint64_t lent = 0, left = 0;
  };
  void onDigest(std::uint64_t period, const std::map<std::string, LoanUpdate>& lent);

  // Its own word, as it would be written now, and once it was taken: the words sent from then on count. A
  // loan lapses by when the word was begun, which the store cannot have taken earlier. leaving: it takes
  // nothing more, and gives back all that is not in use.
  std::map<std::string, Spend> prepareReport(double nowMs, bool leaving = false);
  void onReportAccepted(std::uint64_t period, const std::map<std::string, Spend>& spend, double writeBegunMs);

  // Its part was folded: all that was lent is gone, and what is open stays reckoned there. What was really
  // used goes back with the next word.
  std::map<std::string, std::uint64_t> resetAfterEviction();

  // Something was denied since the last word for want of a loan: a new word is worth writing now.
  bool needsLoan() const;
  std::uint64_t period() const { return period_; }
  bool loanExpired(double nowMs) const { return !acceptedMs_ || nowMs - *acceptedMs_ >= config_.loanMs; }
  struct Snapshot {
    std::uint64_t spent, reserved, ceiling, lent, returned, left;
  };
  std::map<std::string, Snapshot> snapshot() const;

 private:
  struct Account {
    Spend spend;                        // but for `wants`, as it is now
    std::uint64_t acceptedCeiling = 0;  // the ceiling that was taken, or a lower one that is being written
    std::uint64_t left = 0;             // of the fleet's budget, as last heard
    std::uint64_t limit = 0;
    double recentTokens = 0, recentMs = 0;  // reserved of late, fading
    std::uint64_t largest = 0;              // of late
    double largestMs = 0;
    bool denied = false;  // since the last word
    std::uint64_t used() const { return spend.spent + spend.reserved; }
    std::uint64_t outstanding() const {
      return spend.lentSeen > spend.returned ? spend.lentSeen - spend.returned : 0;
    }
  };
  double recentTokensAt(const Account& account, double nowMs) const;
  void recordDemand(Account& account, std::uint64_t tokens, double nowMs);

  BudgetConfig config_;
  std::map<std::string, Account> tenants_;
  std::uint64_t period_ = 0, epoch_ = 0;
  std::optional<double> acceptedMs_;
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

std::uint64_t outstandingOf(const BudgetLine& line,
                            const std::map<Origin, Spend>& spends);  // lent and not returned
std::uint64_t leftOf(const BudgetLine& line, const std::map<Origin, Spend>& spends);

// Lends what is wanted; where there is too little, whole wishes as far as it goes, of those with least at
// hand first.
void lend(BudgetLine& line, const std::map<Origin, Spend>& spends);

// A conductor's part is taken out: its last word is all that it can have spent, and the rest is free again.
void charge(BudgetLine& line, const Origin& gone, const std::optional<Spend>& lastSpend);

// What a conductor that was taken for gone really used, in place of what it was charged.
void refund(BudgetLine& line, std::uint64_t charged, std::uint64_t used);

}  // namespace dahliastall::shared
