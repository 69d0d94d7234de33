/// Token budgets that the fleet shares by loans. The two sides meet only through the store:
/// - a router spends only up to a ceiling that it has reported and the store has accepted, and that
///   lies within what it was lent;
/// - the lender lends no more than what is left of the budget after all outstanding loans, and
/// after
///   all that evicted routers may have spent.
/// Lent and returned amounts only grow, so a stale report of either side errs towards lending too
/// little. Amounts are tokens. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shared/usage_counters.h"

namespace inference_router::shared {

constexpr std::size_t kMaxTenants = 32;  ///< that may have a budget

/// A router's report on one budget, within the period that the report names.
struct Spend {
  std::uint64_t spent = 0;          ///< by requests that have ended
  std::uint64_t reserved = 0;       ///< upper bound for requests in flight
  std::uint64_t ceiling = 0;        ///< limit of spent + reserved until another report is accepted
  std::uint64_t lentSeen = 0;       ///< total of loans in the period, as far as it knows
  std::uint64_t returned = 0;       ///< total of returns in the period
  std::uint64_t requestedLoan = 0;  ///< loan it asks for: used, and what its traffic needs ahead
  bool operator==(const Spend&) const = default;
};

/// Settings of loans. Durations in milliseconds.
struct BudgetConfig {
  double prefetchMs = 10'000;  ///< traffic that a router borrows ahead for
  double ceilingMs = 3'000;    ///< traffic by which the ceiling exceeds what is in use
  double loanMs = 30'000;      ///< a loan expires so long after the last accepted report
  double rateMs = 10'000;      ///< time constant of the measured token rate
  /// Safety checks that tests switch off one by one.
  bool enforceCeiling = true;   ///< spend only up to the accepted ceiling
  bool excludeReturned = true;  ///< do not spend what was returned
};

/// Tokens reserved for one request; settled exactly once.
struct Reservation {
  std::string tenant;
  std::uint64_t tokens = 0;
  std::uint64_t epoch = 0;  ///< settling one of an earlier period or incarnation has no effect
};

/// Why a reservation was denied.
enum class Denial : std::uint8_t {
  kNone,
  kUsedUp,       ///< the budget is used up for this period
  kNoLoan,       ///< the fleet may have tokens left, this router has none
  kLoanExpired,  ///< no report was accepted for loanMs: nothing may be spent
  kTooLarge,     ///< more than the whole budget
};
const char* nameOf(Denial denial);

// ---- Borrower: each router
// --------------------------------------------------------------------------------

/// The budgets of all tenants, as one router borrows and spends them.
class TokenBudgets {
 public:
  explicit TokenBudgets(BudgetConfig config = {}) : config_(config) {}

  /// The tenants with a budget, by this router's file. Without a loan they may spend nothing; the
  /// limit only rejects requests that exceed the whole budget.
  void setLimits(const std::map<std::string, std::uint64_t>& limits);
  bool isLimited(const std::string& tenant) const { return tenants_.count(tenant) != 0; }

  /// denial is kNone if the reservation holds.
  struct Answer {
    Denial denial = Denial::kNone;
    Reservation reservation;
  };
  /// Reserves tokens for a request. A tenant without a budget is never denied.
  Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
  /// Ends a reservation with what was really spent, which may exceed what was reserved.
  void settle(const Reservation& reservation, std::uint64_t spent, double nowMs);

  /// What a digest says of one budget: the total lent to this incarnation, and what is left to
  /// lend.
  struct LoanUpdate {
    std::uint64_t lent = 0, available = 0;
  };
  /// Takes the loans of a digest, by tenant. A digest of an earlier period is ignored.
  void onDigest(std::uint64_t period, const std::map<std::string, LoanUpdate>& lent);

  /// The report to write now, by tenant; lowers ceilings at once. draining: return all that is not
  /// in use.
  std::map<std::string, Spend> prepareReport(double nowMs, bool draining = false);
  /// The store accepted a report; raises ceilings. writeBegunMs: when its write was begun, from
  /// which the expiry of loans counts, as the store cannot have accepted it earlier.
  void onReportAccepted(std::uint64_t period,
                        const std::map<std::string, Spend>& spend,
                        double writeBegunMs);

  /// This incarnation was evicted: drops all loans and reservations, and returns what was really
  /// used, by tenant, for the lender to refund.
  std::map<std::string, std::uint64_t> resetAfterEviction();

  /// Whether a request was denied since the last report, so that another report should be written
  /// soon.
  bool needsLoan() const;
  std::uint64_t period() const { return period_; }
  bool loanExpired(double nowMs) const {
    return !acceptedMs_ || nowMs - *acceptedMs_ >= config_.loanMs;
  }
  /// The state of one budget, for reports.
  struct Snapshot {
    std::uint64_t spent, reserved, ceiling, lent, returned, available;
  };
  std::map<std::string, Snapshot> snapshot() const;

 private:
  struct Account {
    Spend spend;                        // current, except for `requestedLoan`
    std::uint64_t acceptedCeiling = 0;  // accepted, or a lower one that is being written
    std::uint64_t available = 0;        // of the fleet's budget, by the last digest
    std::uint64_t limit = 0;
    double recentTokens = 0, recentMs = 0;  // reserved recently, decaying
    std::uint64_t largest = 0;              // recent request
    double largestMs = 0;
    bool denied = false;  // since the last report
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

// ---- Lender: the holder of the digest's lease
// -----------------------------------------------------------------------------------

/// One budget in the digest. Invariant: charged + lent - returned <= limit, unless the limit itself
/// was lowered below that.
struct BudgetLine {
  std::uint64_t limit = 0;
  std::uint64_t charged = 0;             ///< upper bound of what evicted routers spent
  std::uint64_t available = 0;           ///< available for loans
  std::map<Origin, std::uint64_t> lent;  ///< in this period, by borrower
  bool operator==(const BudgetLine&) const = default;
};

/// Loans that were not returned.
std::uint64_t outstandingOf(const BudgetLine& line, const std::map<Origin, Spend>& spends);
/// What may still be lent.
std::uint64_t availableOf(const BudgetLine& line, const std::map<Origin, Spend>& spends);

/// Grants loans. If there is too little, whole requests are granted as far as it goes, beginning
/// with the routers that hold the fewest unspent tokens.
void lend(BudgetLine& line, const std::map<Origin, Spend>& spends);

/// Evicts a borrower: it is charged what its last report says it may have spent, or its whole loan
/// without a report; the rest becomes available.
void charge(BudgetLine& line, const Origin& borrower, const std::optional<Spend>& lastSpend);

/// Replaces the charge of an evicted router that came back by what it really used.
void refund(BudgetLine& line, std::uint64_t charged, std::uint64_t used);

}  // namespace inference_router::shared
