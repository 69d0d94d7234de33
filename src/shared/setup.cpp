#include "shared/setup.h"

#include <algorithm>
#include <cmath>

#include "shared/words.h"

namespace dahliastall::shared {

namespace {

constexpr double kShortestMs = 50;  // between words or digests

double seconds(const core::Fields& given, const char* name, double otherwiseMs) {
  return given.above0(name, otherwiseMs / 1000) * 1000;
}

double paceOf(const core::Fields& given, const char* name, double otherwiseMs) {
  const double ms = given.above0(name, otherwiseMs);
  if (ms < kShortestMs) given.at(name).fail("is under 50 ms");
  return ms;
}

std::map<std::string, std::uint64_t> budgetsOf(const core::Fields& given,
                                               const std::vector<std::string>& tenants) {
  std::map<std::string, std::uint64_t> budgets;
  given.object();
  for (const auto& [tenant, value] : given.json().items()) {
    const core::Fields one = given.at(tenant);
    if (std::find(tenants.begin(), tenants.end(), tenant) == tenants.end())
      one.fail("is for a tenant that the settings do not name");
    const auto tokens = one.as<std::uint64_t>();
    if (tokens == 0 || tokens > kMostTokens) one.fail("is no number of tokens from 1 to 2^50");
    budgets[tenant] = tokens;
  }
  if (budgets.size() > kMostTenants) given.fail("has more than 32 tenants");
  return budgets;
}

}  // namespace

SharedSetup sharedOf(const core::Fields& given, const std::vector<std::string>& tenants) {
  given.only({"budgets", "period_s", "ahead_s", "slice_s", "loan_s", "word_ms", "digest_ms", "gone_s",
              "silent_s", "late_s", "alone_s", "most_out", "witnesses", "fades_s", "hearsay"});
  SharedSetup setup;
  SharedTerms& terms = setup.terms;
  if (given.has("budgets")) terms.budgets = budgetsOf(given.at("budgets"), tenants);
  terms.periodMs = seconds(given, "period_s", terms.periodMs);
  terms.budget.aheadMs = seconds(given, "ahead_s", terms.budget.aheadMs);
  terms.budget.rateMs = terms.budget.aheadMs;
  terms.budget.sliceMs = seconds(given, "slice_s", terms.budget.sliceMs);
  terms.budget.loanMs = seconds(given, "loan_s", terms.budget.loanMs);
  terms.wordMs = paceOf(given, "word_ms", terms.wordMs);
  terms.digestMs = paceOf(given, "digest_ms", terms.digestMs);
  terms.goneMs = seconds(given, "gone_s", terms.goneMs);
  terms.silentMs = seconds(given, "silent_s", terms.silentMs);
  terms.hearing.lateMs = seconds(given, "late_s", terms.hearing.lateMs);
  terms.hearing.aloneMs = seconds(given, "alone_s", terms.hearing.aloneMs);
  terms.verdict.expiryMs = seconds(given, "fades_s", terms.verdict.expiryMs);
  terms.verdict.witnesses = given.value("witnesses", terms.verdict.witnesses);
  terms.maxExcludedShare = given.value("most_out", terms.maxExcludedShare);
  setup.hearsay = given.value("hearsay", setup.hearsay);
  if (terms.verdict.witnesses < 1) given.at("witnesses").fail("is under 1");
  if (!(terms.maxExcludedShare >= 0 && terms.maxExcludedShare <= 0.5))
    given.at("most_out").fail("is no share from 0 to 0.5");
  if (terms.budget.sliceMs > terms.budget.aheadMs)
    given.fail("cannot be used: slice_s is longer than ahead_s, out of which it is taken");
  if (terms.budget.loanMs < 2 * (terms.wordMs + terms.digestMs))
    given.fail("cannot be used: a loan of loan_s lapses before a conductor can be heard twice");
  if (terms.hearing.aloneMs < terms.hearing.lateMs)
    given.fail("cannot be used: alone_s is shorter than late_s");
  if (terms.hearing.lateMs < terms.wordMs + terms.digestMs)
    given.fail("cannot be used: late_s is shorter than word_ms and digest_ms together");
  if (terms.silentMs > terms.goneMs) given.fail("cannot be used: silent_s is longer than gone_s");
  if (terms.periodMs < terms.budget.loanMs) given.fail("cannot be used: period_s is shorter than loan_s");
  return setup;
}

}  // namespace dahliastall::shared
