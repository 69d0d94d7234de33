// Tests of the slow-start budget of one instance with many processes and a simulated clock.
#include "routing/slow_start_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "router_harness.h"

namespace inference_router::routing {
namespace {

constexpr Time kStart{100s};
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15ULL;

std::vector<SlowStartBudget> budgetsOf(int processes, Time now) {
  std::vector<SlowStartBudget> budgets(static_cast<std::size_t>(processes));
  std::uint64_t seed = 0;
  for (SlowStartBudget& budget : budgets)
    budget.reset(seed += kSeedStep, processes, false, plainSettings().contract, now);
  return budgets;
}

// The times of all requests that the processes send if each is offered one every `interval`.
std::vector<Time> sendsOf(std::vector<SlowStartBudget>& budgets,
                          const SlowStartPart& part,
                          Duration interval,
                          Duration length) {
  const Contract contract = plainSettings().contract;
  std::vector<Time> sends;
  for (Time now = kStart; now < kStart + length; now += interval)
    for (SlowStartBudget& budget : budgets) {
      if (!budget.admits(contract, part, now))
        continue;
      budget.countDispatch(contract, now);
      sends.push_back(now);
    }
  return sends;
}

std::size_t mostInAWindow(const std::vector<Time>& sends) {
  const Duration window = plainSettings().contract.overloadWindow;
  std::size_t most = 0;
  for (auto first = sends.begin(); first != sends.end(); ++first) {
    const auto end = std::lower_bound(first, sends.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

TEST(WarmFraction, GrowsFromTheInitialShareToOneAndIsOneWithoutAKnownStart) {
  const Contract contract = plainSettings().contract;
  EXPECT_DOUBLE_EQ(warmFraction(contract, std::nullopt, kStart), 1);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart), contract.warmupInitialShare);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart - 1s), contract.warmupInitialShare);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart + contract.warmupDuration / 2), 0.5);
  EXPECT_DOUBLE_EQ(warmFraction(contract, kStart, kStart + contract.warmupDuration), 1);
}

// The limit ends only when no window can be left that began in slow start, and not in one step.
TEST(LoadLimit, StaysForOneWindowAfterSlowStartAndIsLiftedGradually) {
  const Contract contract = plainSettings().contract;
  EXPECT_FALSE(loadLimit(contract, std::nullopt, kStart));
  EXPECT_DOUBLE_EQ(*loadLimit(contract, kStart, kStart),
                   contract.overloadFactor * contract.warmupInitialShare);
  const Time warm = kStart + contract.warmupDuration;
  const Time lastWindowEnds = warm + contract.overloadWindow;
  for (Time now = kStart; now <= lastWindowEnds; now += 100ms)
    EXPECT_LE(*loadLimit(contract, kStart, now), 1) << (now - kStart).count();
  double last = 1;
  Time now = lastWindowEnds;
  for (; loadLimit(contract, kStart, now); now += 100ms) {
    EXPECT_LE(*loadLimit(contract, kStart, now) - last, contract.overloadFactor / 10);
    last = *loadLimit(contract, kStart, now);
  }
  EXPECT_GT(last, contract.overloadFactor * 0.9);
  EXPECT_GT(now - lastWindowEnds, contract.overloadWindow);
}

// Whatever is offered, all processes together send no more than the instance can take.
TEST(SlowStartBudget, SumStaysWithinWhatIsAllowedThoughEveryProcessAlwaysHasARequest) {
  for (const int processes : {1, 3, 30, 213, 900})
    for (const double allowed : {5.0, 20.0, 60.0}) {
      std::vector<SlowStartBudget> budgets = budgetsOf(processes, kStart);
      const SlowStartPart part{allowed / processes, HUGE_VAL};
      const std::vector<Time> sends = sendsOf(budgets, part, 10ms, 20s);
      EXPECT_LE(static_cast<double>(mostInAWindow(sends)), allowed + 2 * std::sqrt(allowed) + 2)
          << processes << " processes, " << allowed;
      EXPECT_GE(static_cast<double>(sends.size()), allowed * 0.4 * 20 / 3)
          << processes << " processes, " << allowed;
    }
}

// Processes that rarely have a request would leave most of their parts unused.
TEST(SlowStartBudget, ProcessesWithFewRequestsUseAsMuchTogetherAsThoseWithMany) {
  constexpr int kProcesses = 300;
  constexpr double kAllowed = 20;
  const Contract contract = plainSettings().contract;
  for (const double requestsPerWindow : {0.5, 1.0, 4.0}) {
    std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
    std::mt19937_64 random(7);
    std::bernoulli_distribution hasRequest(requestsPerWindow / 300);  // in 10 of 3,000 ms
    std::size_t sends = 0;
    for (Time now = kStart; now < kStart + 30s; now += 10ms)
      for (SlowStartBudget& budget : budgets) {
        const SlowStartPart part{kAllowed / kProcesses, requestsPerWindow};
        if (!hasRequest(random) || !budget.admits(contract, part, now))
          continue;
        budget.countDispatch(contract, now);
        ++sends;
      }
    EXPECT_NEAR(static_cast<double>(sends) / 10, kAllowed * 0.5, kAllowed * 0.15)
        << requestsPerWindow;
  }
}

// Rare requests come at all processes at once: more is sent than usual, within a bound.
TEST(SlowStartBudget, SumIsBoundedIfAllProcessesWithFewRequestsSuddenlyHaveMany) {
  constexpr int kProcesses = 900;
  constexpr double kAllowed = 20;
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
  const std::vector<Time> sends = sendsOf(budgets, {kAllowed / kProcesses, 0}, 10ms, 3s);
  EXPECT_LE(static_cast<double>(sends.size()), kAllowed * 2.5 * 1.5 + 3 * std::sqrt(kAllowed * 4));
}

// A waiting request is offered every few milliseconds; repeated offers must not get it admitted.
TEST(SlowStartBudget, RepeatedOffersDoNotRaiseWhatIsSent) {
  constexpr int kProcesses = 300;
  const SlowStartPart part{20.0 / kProcesses, HUGE_VAL};
  std::vector<SlowStartBudget> rarely = budgetsOf(kProcesses, kStart);
  std::vector<SlowStartBudget> often = budgetsOf(kProcesses, kStart);
  const std::size_t few = sendsOf(rarely, part, 500ms, 30s).size();
  const std::size_t many = sendsOf(often, part, 10ms, 30s).size();
  EXPECT_GT(few, 50U);
  EXPECT_LE(static_cast<double>(many), static_cast<double>(few) * 1.1);
}

// What a process did not send lapses: processes that were idle do not all send at once.
TEST(SlowStartBudget, WhatWasNotSentIsNotSavedUp) {
  constexpr int kProcesses = 300;
  constexpr double kAllowed = 20;
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart - 60s);
  const std::vector<Time> sends = sendsOf(budgets, {kAllowed / kProcesses, HUGE_VAL}, 10ms, 3s);
  EXPECT_LE(static_cast<double>(sends.size()), kAllowed + 2 * std::sqrt(kAllowed) + 2);
}

// A process that has started may follow one that has used the slot.
TEST(SlowStartBudget, RestartedProcessesDoNotSendTheirPartsTwice) {
  constexpr int kProcesses = 30;
  constexpr double kAllowed = 60;
  const Contract contract = plainSettings().contract;
  const SlowStartPart part{kAllowed / kProcesses, HUGE_VAL};
  std::vector<SlowStartBudget> budgets = budgetsOf(kProcesses, kStart);
  std::vector<Time> sends = sendsOf(budgets, part, 10ms, 3s);
  std::uint64_t seed = 1;
  for (Time now = kStart + 3s; now < kStart + 9s; now += 10ms)
    for (std::size_t i = 0; i < budgets.size(); ++i) {
      if (now == kStart + 3s + 300ms || now == kStart + 3s + 900ms)
        budgets[i].reset(seed += kSeedStep, kProcesses, true, contract, now);
      if (!budgets[i].admits(contract, part, now))
        continue;
      budgets[i].countDispatch(contract, now);
      sends.push_back(now);
    }
  EXPECT_LE(static_cast<double>(mostInAWindow(sends)), kAllowed + 2 * std::sqrt(kAllowed) + 2);
}

// Processes without an estimate still use the instance: all of them about once per window.
TEST(SlowStartBudget, AdmitsAboutOneRequestPerWindowOverAllProcessesIfOneIsAllowed) {
  for (const int processes : {1, 3, 300}) {
    std::vector<SlowStartBudget> budgets = budgetsOf(processes, kStart);
    constexpr int kWindows = 6;
    const std::size_t sends = sendsOf(budgets, {1.0 / processes, HUGE_VAL}, 50ms,
                                      kWindows * plainSettings().contract.overloadWindow)
                                  .size();
    EXPECT_GE(sends, 1U) << processes;
    EXPECT_LE(static_cast<double>(sends), kWindows + 1 + 3 * std::sqrt(kWindows)) << processes;
  }
}

}  // namespace
}  // namespace inference_router::routing
