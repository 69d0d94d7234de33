// The slow-start budget of one instance, on its own: a clock of the test's, many processes, no
// router.
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

// Share of the processes that may send a request now which was first offered at that time.
double admitted(std::vector<SlowStartBudget>& budgets,
                const Settings& settings,
                double share,
                Time now,
                Time since) {
  int count = 0;
  for (SlowStartBudget& budget : budgets)
    count += budget.admits(settings, kStart, {0, share, 1, since}, now) ? 1 : 0;
  return count / static_cast<double>(budgets.size());
}

TEST(WarmFraction, GrowsFromTheLeastToOneAndIsOneWhereNoStartIsKnown) {
  const Contract contract = plainSettings().contract;
  EXPECT_DOUBLE_EQ(warmFraction(contract, std::nullopt, kStart), 1);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart), contract.warmupInitialShare);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart - 1s), contract.warmupInitialShare);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart + contract.warmupDuration / 2), 0.5);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart + contract.warmupDuration), 1);
}

TEST(SlowStartBudget, DrawsAPartOfTheProcessesThatFollowsTheShareAndTheAge) {
  constexpr int kProcesses = 20'000;
  const Settings settings = settingsOf(kProcesses);
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
  const double whole = admitted(budgets, settings, 1, kStart, kStart);
  EXPECT_GT(whole, 0.2);
  EXPECT_LT(whole, settings.contract.overloadFactor * settings.contract.warmupInitialShare);
  EXPECT_NEAR(admitted(budgets, settings, 0.1, kStart, kStart), whole / 10, 0.01);
  const Time later = kStart + 8s;
  EXPECT_GT(admitted(budgets, settings, 0.1, later, later), whole / 10 * 1.5);
  EXPECT_DOUBLE_EQ(admitted(budgets, settings, 10, later, later), 1);
}

// A request that waits is looked at every few milliseconds: it must not come through by being asked
// often.
TEST(SlowStartBudget, DrawsOnceInASlotAndForARequestThatWaitsLessAndLess) {
  constexpr int kProcesses = 5'000;
  const Settings settings = settingsOf(kProcesses);
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
  const double share = 0.2;
  const double once = admitted(budgets, settings, share, kStart, kStart);
  std::vector<bool> ever(budgets.size());
  for (Time now = kStart; now < kStart + 2s; now += 10ms)
    for (std::size_t i = 0; i < budgets.size(); ++i)
      if (budgets[i].admits(settings, kStart, {0, share, 1, kStart}, now))
        ever[i] = true;
  const auto count = static_cast<double>(std::count(ever.begin(), ever.end(), true));
  EXPECT_LE(count / kProcesses, once * 1.25);
  EXPECT_GE(count / kProcesses, once);
}

TEST(SlowStartBudget, SendsOneDrawnRequestInASlot) {
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

// Who never draws it still comes by now and then: all of them together about once a window.
TEST(SlowStartBudget, LeavesOneSendInAWindowToAllProcessesThatDrawNone) {
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

TEST(SlowStartBudget, CountsWhereAProcessSeesMuchAndStaysWithinItsPart) {
  const Settings settings = settingsOf(3);
  const Contract& contract = settings.contract;
  const double usual = 40;  // of a warm one in a window
  std::vector<SlowStartBudget> budgets = budgetsOf(3, kStart);
  std::vector<Time> sends;
  for (Time now = kStart; now < kStart + contract.warmupDuration; now += 5ms)
    for (SlowStartBudget& budget : budgets) {
      if (!budget.admits(settings, kStart, {usual / 3, 1, 1, now}, now))
        continue;
      budget.countDispatch(contract, now);
      sends.push_back(now);
    }
  for (std::size_t i = 0; i < sends.size(); ++i) {
    const auto end =
        std::lower_bound(sends.begin(), sends.end(), sends[i] + contract.overloadWindow);
    const double most = contract.overloadFactor * usual * warmFraction(contract, kStart, sends[i]);
    EXPECT_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i), most) << i;
  }
  EXPECT_GT(static_cast<double>(sends.size()), usual);
}

}  // namespace
}  // namespace inference_router::routing
