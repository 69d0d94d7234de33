#include "shared/setup.h"

#include <algorithm>
#include <cmath>

#include "shared/documents.h"

namespace inference_router::shared {

namespace {

constexpr double kMinIntervalMs = 50;  // between reports or digests

double readSeconds(const core::ConfigReader& given, const char* name, double otherwiseMs) {
  return given.above0(name, otherwiseMs / 1000) * 1000;
}

double readInterval(const core::ConfigReader& given, const char* name, double otherwiseMs) {
  const double ms = given.above0(name, otherwiseMs);
  if (ms < kMinIntervalMs)
    given.at(name).fail("is under 50 ms");
  return ms;
}

std::map<std::string, std::uint64_t> readBudgets(const core::ConfigReader& given,
                                                 const std::vector<std::string>& tenants) {
  std::map<std::string, std::uint64_t> budgets;
  given.object();
  for (const auto& [tenant, value] : given.json().items()) {
    const core::ConfigReader one = given.at(tenant);
    if (std::find(tenants.begin(), tenants.end(), tenant) == tenants.end())
      one.fail("is for a tenant that the settings do not name");
    const auto tokens = one.as<std::uint64_t>();
    if (tokens == 0 || tokens > kMaxTokens)
      one.fail("is no number of tokens from 1 to 2^50");
    budgets[tenant] = tokens;
  }
  if (budgets.size() > kMaxTenants)
    given.fail("has more than 32 tenants");
  return budgets;
}

/// Checks the settings against each other.
void checkConsistency(const core::ConfigReader& given, const SharedConfig& config) {
  if (config.budget.ceilingMs > config.budget.prefetchMs)
    given.fail("cannot be used: slice_s is longer than ahead_s, out of which it is taken");
  if (config.budget.loanMs < 2 * (config.reportMs + config.digestMs))
    given.fail("cannot be used: a loan of loan_s lapses before a conductor can be heard twice");
  if (config.connectivity.isolatedMs < config.connectivity.delayedMs)
    given.fail("cannot be used: alone_s is shorter than late_s");
  if (config.connectivity.delayedMs < config.reportMs + config.digestMs)
    given.fail("cannot be used: late_s is shorter than word_ms and digest_ms together");
  if (config.silentMs > config.goneMs)
    given.fail("cannot be used: silent_s is longer than gone_s");
  if (config.periodMs < config.budget.loanMs)
    given.fail("cannot be used: period_s is shorter than loan_s");
}

}  // namespace

SharedSetup sharedSetupOf(const core::ConfigReader& given,
                          const std::vector<std::string>& tenants) {
  given.only({"budgets", "period_s", "ahead_s", "slice_s", "loan_s", "word_ms", "digest_ms",
              "gone_s", "silent_s", "late_s", "alone_s", "most_out", "witnesses", "fades_s",
              "hearsay"});
  SharedSetup setup;
  SharedConfig& config = setup.config;
  if (given.has("budgets"))
    config.budgets = readBudgets(given.at("budgets"), tenants);
  config.periodMs = readSeconds(given, "period_s", config.periodMs);
  config.budget.prefetchMs = readSeconds(given, "ahead_s", config.budget.prefetchMs);
  config.budget.rateMs = config.budget.prefetchMs;
  config.budget.ceilingMs = readSeconds(given, "slice_s", config.budget.ceilingMs);
  config.budget.loanMs = readSeconds(given, "loan_s", config.budget.loanMs);
  config.reportMs = readInterval(given, "word_ms", config.reportMs);
  config.digestMs = readInterval(given, "digest_ms", config.digestMs);
  config.goneMs = readSeconds(given, "gone_s", config.goneMs);
  config.silentMs = readSeconds(given, "silent_s", config.silentMs);
  config.connectivity.delayedMs = readSeconds(given, "late_s", config.connectivity.delayedMs);
  config.connectivity.isolatedMs = readSeconds(given, "alone_s", config.connectivity.isolatedMs);
  config.verdict.expiryMs = readSeconds(given, "fades_s", config.verdict.expiryMs);
  config.verdict.witnesses = given.value("witnesses", config.verdict.witnesses);
  config.maxExcludedShare = given.value("most_out", config.maxExcludedShare);
  setup.peerExclusions = given.value("hearsay", setup.peerExclusions);
  if (config.verdict.witnesses < 1)
    given.at("witnesses").fail("is under 1");
  if (!(config.maxExcludedShare >= 0 && config.maxExcludedShare <= 0.5))
    given.at("most_out").fail("is no share from 0 to 0.5");
  checkConsistency(given, config);
  return setup;
}

}  // namespace inference_router::shared
