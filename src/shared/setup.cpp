#include "shared/setup.h"

#include <algorithm>
#include <cmath>

#include "shared/documents.h"

namespace inference_router::shared {

namespace {

constexpr double kMinIntervalMs = 50;  // between reports or digests

double readSeconds(const core::ConfigReader& section, const char* name, double defaultMs) {
  return section.above0(name, defaultMs / 1000) * 1000;
}

double readInterval(const core::ConfigReader& section, const char* name, double defaultMs) {
  const double ms = section.above0(name, defaultMs);
  if (ms < kMinIntervalMs)
    section.at(name).fail("is less than 50 ms");
  return ms;
}

std::map<std::string, std::uint64_t> readBudgets(const core::ConfigReader& section,
                                                 const std::vector<std::string>& tenants) {
  std::map<std::string, std::uint64_t> budgets;
  section.object();
  for (const auto& [tenant, value] : section.json().items()) {
    const core::ConfigReader budget = section.at(tenant);
    if (std::find(tenants.begin(), tenants.end(), tenant) == tenants.end())
      budget.fail("is the budget of a tenant that is not in the settings");
    const auto tokens = budget.as<std::uint64_t>();
    if (tokens == 0 || tokens > kMaxTokens)
      budget.fail("is not a number of tokens from 1 to 2^50");
    budgets[tenant] = tokens;
  }
  if (budgets.size() > kMaxTenants)
    section.fail("has more than 32 tenants");
  return budgets;
}

/// Checks the settings against each other.
void checkConsistency(const core::ConfigReader& section, const SharedConfig& config) {
  if (config.budget.ceilingMs > config.budget.prefetchMs)
    section.fail("cannot be used: slice_s is longer than ahead_s, of which it is a part");
  if (config.budget.loanMs < 2 * (config.reportMs + config.digestMs))
    section.fail(
        "cannot be used: loan_s is shorter than twice the sum of word_ms and digest_ms, so a loan "
        "would "
        "expire before its router can report twice");
  if (config.connectivity.isolatedMs < config.connectivity.delayedMs)
    section.fail("cannot be used: alone_s is shorter than late_s");
  if (config.connectivity.delayedMs < config.reportMs + config.digestMs)
    section.fail("cannot be used: late_s is shorter than word_ms and digest_ms together");
  if (config.silentMs > config.evictAfterMs)
    section.fail("cannot be used: silent_s is longer than gone_s");
  if (config.periodMs < config.budget.loanMs)
    section.fail("cannot be used: period_s is shorter than loan_s");
}

}  // namespace

SharedSetup sharedSetupOf(const core::ConfigReader& section,
                          const std::vector<std::string>& tenants) {
  section.only({"budgets", "period_s", "ahead_s", "slice_s", "loan_s", "word_ms", "digest_ms",
                "gone_s", "silent_s", "late_s", "alone_s", "most_out", "witnesses", "fades_s",
                "hearsay"});
  SharedSetup setup;
  SharedConfig& config = setup.config;
  if (section.has("budgets"))
    config.budgets = readBudgets(section.at("budgets"), tenants);
  config.periodMs = readSeconds(section, "period_s", config.periodMs);
  config.budget.prefetchMs = readSeconds(section, "ahead_s", config.budget.prefetchMs);
  config.budget.rateMs = config.budget.prefetchMs;
  config.budget.ceilingMs = readSeconds(section, "slice_s", config.budget.ceilingMs);
  config.budget.loanMs = readSeconds(section, "loan_s", config.budget.loanMs);
  config.reportMs = readInterval(section, "word_ms", config.reportMs);
  config.digestMs = readInterval(section, "digest_ms", config.digestMs);
  config.evictAfterMs = readSeconds(section, "gone_s", config.evictAfterMs);
  config.silentMs = readSeconds(section, "silent_s", config.silentMs);
  config.connectivity.delayedMs = readSeconds(section, "late_s", config.connectivity.delayedMs);
  config.connectivity.isolatedMs = readSeconds(section, "alone_s", config.connectivity.isolatedMs);
  config.verdict.expiryMs = readSeconds(section, "fades_s", config.verdict.expiryMs);
  config.verdict.witnesses = section.value("witnesses", config.verdict.witnesses);
  config.maxExcludedShare = section.value("most_out", config.maxExcludedShare);
  setup.peerExclusions = section.value("hearsay", setup.peerExclusions);
  if (config.verdict.witnesses < 1)
    section.at("witnesses").fail("is less than 1");
  if (!(config.maxExcludedShare >= 0 && config.maxExcludedShare <= 0.5))
    section.at("most_out").fail("is not a share from 0 to 0.5");
  checkConsistency(section, config);
  return setup;
}

}  // namespace inference_router::shared
