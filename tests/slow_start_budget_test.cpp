// Tests of the slow-start budget of one instance with many processes and a simulated clock.
#include "routing/slow_start_budget.h"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "router_harness.h"

namespace inference_router::routing {
namespace {

constexpr Time kStart{100s};
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15ULL;

Settings settingsOf(int processes) {
  Settings settings = plainSettings();
  settings.nodes = processes;
  return settings;
}

std::vector<SlowStartBudget> budgetsOf(int processes, Time now) {
  std::vector<SlowStartBudget> budgets(static_cast<std::size_t>(processes));
  std::uint64_t seed = 0;
  for (SlowStartBudget& budget : budgets)
    budget.reset(seed += kSeedStep, processes, now);
  return budgets;
}

// Share of the processes that admit, at `now`, a request that was first offered at `since`.
double admittedShare(std::vector<SlowStartBudget>& budgets,
                     const Settings& settings,
                     double share,
                     Time now,
                     Time since) {
  int count = 0;
  for (SlowStartBudget& budget : budgets)
    count += budget.admits(settings, kStart, {0, share, 1, since}, now) ? 1 : 0;
  return count / static_cast<double>(budgets.size());
}

TEST(WarmFraction, GrowsFromTheInitialShareToOneAndIsOneWithoutAKnownStart) {
  const Contract contract = plainSettings().contract;
  EXPECT_DOUBLE_EQ(warmFraction(contract, std::nullopt, kStart), 1);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart), contract.warmupInitialShare);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart - 1s), contract.warmupInitialShare);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart + contract.warmupDuration / 2), 0.5);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart + contract.warmupDuration), 1);
}

TEST(SlowStartBudget, AdmissionProbabilityFollowsTheOfferedShareAndTheAge) {
  constexpr int kProcesses = 20'000;
  const Settings settings = settingsOf(kProcesses);
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
  const double fullShare = admittedShare(budgets, settings, 1, kStart, kStart);
  EXPECT_GT(fullShare, 0.2);
  EXPECT_LT(fullShare, settings.contract.overloadFactor * settings.contract.warmupInitialShare);
  EXPECT_NEAR(admittedShare(budgets, settings, 0.1, kStart, kStart), fullShare / 10, 0.01);
  const Time later = kStart + 8s;
  EXPECT_GT(admittedShare(budgets, settings, 0.1, later, later), fullShare / 10 * 1.5);
  EXPECT_DOUBLE_EQ(admittedShare(budgets, settings, 10, later, later), 1);
}

// A waiting request is offered every few milliseconds; repeated offers must not get it admitted.
TEST(SlowStartBudget, DrawsOncePerSlotWithDecreasingProbabilityForAWaitingRequest) {
  constexpr int kProcesses = 5'000;
  const Settings settings = settingsOf(kProcesses);
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
  const double share = 0.2;
  const double once = admittedShare(budgets, settings, share, kStart, kStart);
  std::vector<bool> everAdmitted(budgets.size());
  for (Time now = kStart; now < kStart + 2s; now += 10ms)
    for (std::size_t i = 0; i < budgets.size(); ++i)
      if (budgets[i].admits(settings, kStart, {0, share, 1, kStart}, now))
        everAdmitted[i] = true;
  const auto count =
      static_cast<double>(std::count(everAdmitted.begin(), everAdmitted.end(), true));
  EXPECT_LE(count / kProcesses, once * 1.25);
  EXPECT_GE(count / kProcesses, once);
}

TEST(SlowStartBudget, AdmitsOneDrawnRequestPerSlot) {
  constexpr int kProcesses = 200;
  const Settings settings = settingsOf(kProcesses);
  for (SlowStartBudget& budget : budgetsOf(kProcesses, kStart)) {
    if (!budget.admits(settings, kStart, {0, 10, 1, kStart}, kStart))
      continue;
    budget.countDispatch(settings.contract, kStart);
    EXPECT_FALSE(budget.admits(settings, kStart, {0, 10, 1, kStart}, kStart));
    EXPECT_TRUE(budget.admits(settings, kStart, {0, 100, 1, kStart + 1s}, kStart + 1s));
  }
}

// Processes that never draw the instance still use it: all of them together about once per window.
TEST(SlowStartBudget, AdmitsAboutOneRequestPerWindowOverAllProcessesWithoutADraw) {
  for (const int processes : {1, 3, 300}) {
    const Settings settings = settingsOf(processes);
    std::vector<SlowStartBudget> budgets = budgetsOf(processes, kStart);
    int sends = 0;
    const int windows = 3;
    for (Time now = kStart; now < kStart + windows * settings.contract.overloadWindow; now += 50ms)
      for (SlowStartBudget& budget : budgets) {
        if (!budget.admits(settings, kStart, {0, 0, 0, now}, now))
          continue;
        budget.countDispatch(settings.contract, now);
        ++sends;
      }
    EXPECT_GE(sends, 1) << processes;
    EXPECT_LE(sends, windows + 1 + 3 * std::sqrt(windows)) << processes;
  }
}

TEST(SlowStartBudget, CountsDispatchesOfABusyProcessAndStaysWithinItsPart) {
  const Settings settings = settingsOf(3);
  const Contract& contract = settings.contract;
  const double warmRate = 40;  // requests per window to a warm instance
  std::vector<SlowStartBudget> budgets = budgetsOf(3, kStart);
  std::vector<Time> sends;
  for (Time now = kStart; now < kStart + contract.warmupDuration; now += 5ms)
    for (SlowStartBudget& budget : budgets) {
      if (!budget.admits(settings, kStart, {warmRate / 3, 1, 1, now}, now))
        continue;
      budget.countDispatch(contract, now);
      sends.push_back(now);
    }
  for (std::size_t i = 0; i < sends.size(); ++i) {
    const auto end =
        std::lower_bound(sends.begin(), sends.end(), sends[i] + contract.overloadWindow);
    const double limit =
        contract.overloadFactor * warmRate * warmFraction(contract, kStart, sends[i]);
    EXPECT_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i), limit) << i;
  }
  EXPECT_GT(static_cast<double>(sends.size()), warmRate);
}

}  // namespace
}  // namespace inference_router::routing
