/// Token budgets that the fleet shares by loans. Borrowers and the lender communicate only through
/// the store:
/// - A router spends only up to a ceiling that it has reported, that the store has accepted, and
///   that lies within its loans.
/// - The lender lends at most what remains of the budget after all outstanding loans and after all
///   that evicted routers may have spent.
/// Lent and returned amounts only grow, so a stale report of either side results in lending too
/// little, never too much. Amounts are tokens. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shared/usage_counters.h"

namespace inference_router::shared {

constexpr std::size_t kMaxTenants = 32;  ///< with a budget

/// A router's report on one budget, for the period that the report names.
struct Spend {
  std::uint64_t spent = 0;          ///< by requests that have ended
  std::uint64_t reserved = 0;       ///< upper bound for requests in flight
  std::uint64_t ceiling = 0;        ///< limit of spent + reserved until the next report is accepted
  std::uint64_t lentSeen = 0;       ///< total of loans in the period that it knows of
  std::uint64_t returned = 0;       ///< total of returns in the period
  std::uint64_t requestedLoan = 0;  ///< loans that it needs: its use so far, and traffic ahead
  bool operator==(const Spend&) const = default;
};

/// Settings of loans. Durations in milliseconds.
struct BudgetConfig {
  double prefetchMs = 10'000;  ///< for how much future traffic a router borrows
  double ceilingMs = 3'000;    ///< future traffic that the ceiling allows beyond the use
  double loanMs = 30'000;      ///< from the last accepted report until loans expire
  double rateMs = 10'000;      ///< time constant of the measured token rate
  /// Safety checks that tests switch off one by one.
  bool enforceCeiling = true;   ///< spend only up to the accepted ceiling
  bool excludeReturned = true;  ///< do not spend what was returned
};

/// Tokens reserved for one request; settled exactly once.
struct Reservation {
  std::string tenant;
  std::uint64_t tokens = 0;
  /// Changes with each period and incarnation; settling a reservation of an earlier one has no
  /// effect.
  std::uint64_t epoch = 0;
};

/// Why a reservation was denied.
enum class Denial : std::uint8_t {
  kNone,
  kUsedUp,       ///< the budget is used up for this period
  kNoLoan,       ///< this router's loans are used up, although the fleet may have tokens
  kLoanExpired,  ///< no report was accepted for loanMs, so nothing may be spent
  kTooLarge,     ///< the request exceeds the whole budget
};
/// The denial's name in counters and reports.
const char* nameOf(Denial denial);

// ---- Borrower: each router ----

/// The budgets of all tenants, as one router borrows and spends them.
class TokenBudgets {
 public:
  explicit TokenBudgets(BudgetConfig config = {}) : config_(config) {}

  /// Sets the tenants with a budget and its limit, as this router's file gives them. A limit does
  /// not allow any spending without a loan; it only rejects requests that exceed the whole budget.
  void setLimits(const std::map<std::string, std::uint64_t>& limits);
  bool isLimited(const std::string& tenant) const { return tenants_.count(tenant) != 0; }

  /// The result of reserve(); reservation is valid if denial is kNone.
  struct Answer {
    Denial denial = Denial::kNone;
    Reservation reservation;
  };
  /// Reserves tokens for a request. A tenant without a budget is never denied.
  Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
  /// Ends a reservation with the tokens that were actually spent, which may exceed the reserved
  /// ones.
  void settle(const Reservation& reservation, std::uint64_t spent, double nowMs);

  /// The part of a digest that concerns one budget: the total lent to this incarnation, and what
  /// the lender still has to lend.
  struct LoanUpdate {
    std::uint64_t lent = 0, available = 0;
  };
  /// Applies the loans of a digest, by tenant. A digest of an earlier period is ignored.
  void onDigest(std::uint64_t period, const std::map<std::string, LoanUpdate>& lent);

  /// Returns the report to write now, by tenant, and lowers ceilings immediately. draining: return
  /// all tokens that are not in use.
  std::map<std::string, Spend> prepareReport(double nowMs, bool draining = false);
  /// Raises ceilings after the store accepted a report. writeBegunMs: when the write was started.
  /// The expiry of loans is counted from there, as the store cannot have accepted it earlier.
  void onReportAccepted(std::uint64_t period,
                        const std::map<std::string, Spend>& spend,
                        double writeBegunMs);

  /// Drops all loans and reservations after this incarnation was evicted. Returns the tokens that
  /// were actually used, by tenant, so that the lender can refund the rest.
  std::map<std::string, std::uint64_t> resetAfterEviction();

  /// Whether a request was denied since the last report, in which case the next report is urgent.
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
    Spend spend;                        // current, except for requestedLoan
    std::uint64_t acceptedCeiling = 0;  // or a lower one that is being written
    std::uint64_t available = 0;        // of the fleet's budget, by the last digest
    std::uint64_t limit = 0;
    double recentTokens = 0, recentMs = 0;  // decaying sum of requested tokens, and its time
    std::uint64_t largest = 0;              // largest recent request, and its time
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

// ---- Lender: the holder of the digest's lease ----

/// One budget in the digest. Invariant: charged + lent - returned <= limit, unless the limit was
/// lowered below that sum.
struct BudgetLine {
  std::uint64_t limit = 0;
  std::uint64_t charged = 0;             ///< upper bound of what evicted routers spent
  std::uint64_t available = 0;           ///< available for loans
  std::map<Origin, std::uint64_t> lent;  ///< total of loans in this period, by borrower
  bool operator==(const BudgetLine&) const = default;
};

/// The sum of loans that were not returned.
std::uint64_t outstandingOf(const BudgetLine& line, const std::map<Origin, Spend>& spends);
/// The tokens that may still be lent.
std::uint64_t availableOf(const BudgetLine& line, const std::map<Origin, Spend>& spends);

/// Grants loans. If the budget does not suffice for all, requests are granted in full one after the
/// other until it is used up, in ascending order of the routers' unspent tokens.
void lend(BudgetLine& line, const std::map<Origin, Spend>& spends);

/// Evicts a borrower: charges the budget with what it may have spent by its last report, or with
/// its whole loan if there is no report. The rest becomes available.
void charge(BudgetLine& line, const Origin& borrower, const std::optional<Spend>& lastSpend);

/// Replaces the charge of an evicted router by what the router reports to have actually used.
void refund(BudgetLine& line, std::uint64_t charged, std::uint64_t used);

}  // namespace inference_router::shared
