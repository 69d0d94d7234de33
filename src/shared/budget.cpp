#include "shared/budget.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace inference_router::shared {

namespace {

// A router returns loans beyond this multiple of its expected demand.
constexpr double kRetainFactor = 2;

std::uint64_t rounded(double tokens) {
  return static_cast<std::uint64_t>(std::max(0.0, std::ceil(tokens)));
}

std::uint64_t saturatingSubtract(std::uint64_t from, std::uint64_t amount) {
  return from > amount ? from - amount : 0;
}

}  // namespace

const char* nameOf(Denial denial) {
  constexpr std::array<const char*, 5> kNames{"none", "used_up", "no_loan", "lapsed", "too_large"};
  return kNames[static_cast<std::size_t>(denial)];
}

// ---- Borrower ----

void TokenBudgets::setLimits(const std::map<std::string, std::uint64_t>& limits) {
  std::erase_if(tenants_, [&](const auto& entry) { return limits.count(entry.first) == 0; });
  for (const auto& [tenant, limit] : limits)
    tenants_[tenant].limit = limit;
}

double TokenBudgets::recentTokensAt(const Account& account, double nowMs) const {
  return account.recentTokens * std::exp(-std::max(0.0, nowMs - account.recentMs) / config_.rateMs);
}

void TokenBudgets::recordDemand(Account& account, std::uint64_t tokens, double nowMs) {
  account.recentTokens = recentTokensAt(account, nowMs) + static_cast<double>(tokens);
  account.recentMs = nowMs;
  if (tokens >= account.largest || nowMs - account.largestMs > config_.prefetchMs) {
    account.largest = tokens;
    account.largestMs = nowMs;
  }
}

TokenBudgets::Answer TokenBudgets::reserve(const std::string& tenant,
                                           std::uint64_t tokens,
                                           double nowMs) {
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end())
    return {};
  Account& account = it->second;
  if (tokens > account.limit)
    return {Denial::kTooLarge, {}};
  // Denied requests count as demand too, as the size of the next loan is derived from the demand.
  recordDemand(account, tokens, nowMs);
  Denial denial = Denial::kNone;
  if (loanExpired(nowMs))
    denial = Denial::kLoanExpired;
  else if (account.used() + tokens >
           (config_.enforceCeiling ? account.acceptedCeiling : account.outstanding()))
    denial = account.used() + tokens > account.outstanding() && account.available == 0
                 ? Denial::kUsedUp
                 : Denial::kNoLoan;
  if (denial != Denial::kNone) {
    account.denied = true;
    return {denial, {}};
  }
  account.spend.reserved += tokens;
  return {Denial::kNone, {tenant, tokens, epoch_}};
}

void TokenBudgets::settle(const Reservation& reservation, std::uint64_t spent, double) {
  const auto it = tenants_.find(reservation.tenant);
  if (it == tenants_.end() || reservation.epoch != epoch_)
    return;
  Spend& spend = it->second.spend;
  spend.reserved = saturatingSubtract(spend.reserved, reservation.tokens);
  spend.spent += spent;
}

void TokenBudgets::onDigest(std::uint64_t period, const std::map<std::string, LoanUpdate>& lent) {
  if (period < period_)
    return;
  if (period > period_) {
    period_ = period;
    ++epoch_;
    for (auto& [tenant, account] : tenants_) {
      account.spend = {};
      account.acceptedCeiling = account.available = 0;
    }
  }
  for (auto& [tenant, account] : tenants_) {
    const auto it = lent.find(tenant);
    if (it == lent.end())
      continue;
    account.spend.lentSeen = std::max(account.spend.lentSeen, it->second.lent);
    account.available = it->second.available;
  }
}

std::map<std::string, Spend> TokenBudgets::prepareReport(double nowMs, bool draining) {
  std::map<std::string, Spend> spends;
  for (auto& [tenant, account] : tenants_) {
    const double rate =
        draining ? 0 : recentTokensAt(account, nowMs) / config_.rateMs;  // tokens per millisecond
    const std::uint64_t largest =
        !draining && nowMs - account.largestMs <= config_.prefetchMs ? account.largest : 0;
    const std::uint64_t expected = rounded(rate * config_.prefetchMs) + largest;
    account.spend.requestedLoan = account.used() + expected;
    // Unused loans are returned, as other routers may need them.
    const std::uint64_t retained =
        account.used() + rounded(static_cast<double>(expected) * kRetainFactor);
    if (account.outstanding() > retained)
      account.spend.returned += account.outstanding() - retained;
    account.spend.ceiling = std::max(
        account.used(), std::min(account.outstanding(),
                                 account.used() + rounded(rate * config_.ceilingMs) + largest));
    // A lower ceiling applies immediately, a higher one once the store has accepted the report.
    if (config_.excludeReturned)
      account.acceptedCeiling = std::min(account.acceptedCeiling, account.spend.ceiling);
    account.denied = false;
    spends[tenant] = account.spend;
  }
  return spends;
}

void TokenBudgets::onReportAccepted(std::uint64_t period,
                                    const std::map<std::string, Spend>& spend,
                                    double writeBegunMs) {
  acceptedMs_ = std::max(acceptedMs_.value_or(writeBegunMs), writeBegunMs);
  if (period != period_)
    return;
  for (const auto& [tenant, reported] : spend) {
    const auto it = tenants_.find(tenant);
    if (it == tenants_.end())
      continue;
    Account& account = it->second;
    account.acceptedCeiling = config_.excludeReturned
                                  ? std::min(reported.ceiling, account.outstanding())
                                  : std::max(reported.ceiling, account.acceptedCeiling);
  }
}

std::map<std::string, std::uint64_t> TokenBudgets::resetAfterEviction() {
  std::map<std::string, std::uint64_t> used;
  ++epoch_;
  for (auto& [tenant, account] : tenants_) {
    used[tenant] = account.used();
    account.spend = {};
    account.acceptedCeiling = 0;
  }
  return used;
}

bool TokenBudgets::needsLoan() const {
  return std::any_of(tenants_.begin(), tenants_.end(),
                     [](const auto& entry) { return entry.second.denied; });
}

std::map<std::string, TokenBudgets::Snapshot> TokenBudgets::snapshot() const {
  std::map<std::string, Snapshot> all;
  for (const auto& [tenant, account] : tenants_)
    all[tenant] = {account.spend.spent,    account.spend.reserved, account.acceptedCeiling,
                   account.spend.lentSeen, account.spend.returned, account.available};
  return all;
}

// ---- Lender ----

namespace {

const Spend* spendOf(const std::map<Origin, Spend>& spends, const Origin& borrower) {
  const auto it = spends.find(borrower);
  return it == spends.end() ? nullptr : &it->second;
}

// What a borrower has spent or may still spend: loans that it did not return, and at least what its
// own report states.
std::uint64_t outstandingOf(std::uint64_t lent, const Spend* spend) {
  if (spend == nullptr)
    return lent;
  return std::max({saturatingSubtract(std::max(lent, spend->lentSeen), spend->returned),
                   spend->ceiling, spend->spent + spend->reserved});
}

}  // namespace

std::uint64_t outstandingOf(const BudgetLine& line, const std::map<Origin, Spend>& spends) {
  std::uint64_t sum = 0;
  for (const auto& [borrower, lent] : line.lent)
    sum += outstandingOf(lent, spendOf(spends, borrower));
  for (const auto& [borrower, spend] : spends)
    if (line.lent.count(borrower) == 0)
      sum += outstandingOf(0, &spend);
  return sum;
}

std::uint64_t availableOf(const BudgetLine& line, const std::map<Origin, Spend>& spends) {
  return saturatingSubtract(line.limit, line.charged + outstandingOf(line, spends));
}

namespace {

// Ordered so that the borrower with the fewest unspent tokens comes first.
struct LoanRequest {
  std::uint64_t unspent;
  std::uint64_t tokens;
  Origin borrower;
  auto operator<=>(const LoanRequest&) const = default;
};

}  // namespace

void lend(BudgetLine& line, const std::map<Origin, Spend>& spends) {
  // After a rollback of the store, borrowers report loans that are missing from the digest.
  for (const auto& [borrower, spend] : spends)
    if (spend.lentSeen > 0)
      line.lent[borrower] = std::max(line.lent[borrower], spend.lentSeen);
  std::uint64_t available = availableOf(line, spends);
  // The available tokens are not split evenly: a loan that is too small for a request is of no use
  // to its borrower.
  std::vector<LoanRequest> requests;
  for (const auto& [borrower, spend] : spends) {
    const auto lent = line.lent.find(borrower);
    const std::uint64_t outstanding =
        outstandingOf(lent == line.lent.end() ? 0 : lent->second, &spend);
    if (spend.requestedLoan > outstanding)
      requests.push_back({saturatingSubtract(outstanding, spend.spent),
                          spend.requestedLoan - outstanding, borrower});
  }
  std::sort(requests.begin(), requests.end());
  for (const LoanRequest& request : requests) {
    const std::uint64_t granted = std::min(request.tokens, available);
    if (granted > 0)
      line.lent[request.borrower] += granted;
    available -= granted;
  }
}

void charge(BudgetLine& line, const Origin& borrower, const std::optional<Spend>& lastSpend) {
  const auto lent = line.lent.find(borrower);
  const std::uint64_t lentTokens = lent == line.lent.end() ? 0 : lent->second;
  // Without a report, only the loan is known.
  line.charged +=
      lastSpend ? std::max(lastSpend->ceiling, lastSpend->spent + lastSpend->reserved) : lentTokens;
  if (lent != line.lent.end())
    line.lent.erase(lent);
}

void refund(BudgetLine& line, std::uint64_t charged, std::uint64_t used) {
  line.charged = saturatingSubtract(line.charged + used, charged);
}

}  // namespace inference_router::shared
