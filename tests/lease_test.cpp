// Tests of leases: single transitions of the state machine, an exhaustive search through all orders
// of events among up to three candidates and a store, and longer random simulations with up to a
// few hundred candidates. For each safety measure a search without it must find a violation.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <iostream>
#include <random>

#include "support/lease_model.h"

namespace inference_router {
namespace {

// ---- Single transitions

LeaseConfig configWithoutJitter() {
  LeaseConfig config;
  config.task = "maintenance";
  config.renewJitter = 0;
  return config;
}

struct HeldLease {
  explicit HeldLease(LeaseConfig config = configWithoutJitter()) : lease(config, {"c1", 7}, 1, 0) {
    request = *lease.tick(0);
    lease.onResponse(decide(cell, request, 0, 0), 10);
  }
  LeaseCell cell;
  LeaseRequest request;
  Lease lease;
};

TEST(LeaseCandidate, HoldsALeaseThatIsValidFromTheTimeOfTheRequest) {
  HeldLease held;
  EXPECT_EQ(held.lease.state(), LeaseState::kHolding);
  EXPECT_EQ(held.lease.fence(), 1u);
  EXPECT_DOUBLE_EQ(held.lease.validUntilMs(), validityMs(configWithoutJitter()));
  EXPECT_LT(validityMs(configWithoutJitter()), configWithoutJitter().ttlMs);
  const auto fence = held.lease.beginStep(10);
  ASSERT_TRUE(fence);
  EXPECT_EQ(fence->number(), 1u);
  EXPECT_FALSE(held.lease.beginStep(10)) << "one step at a time";
}

TEST(LeaseCandidate, BeginsNoStepThatCouldOutlastTheLease) {
  HeldLease held;
  const double until = held.lease.validUntilMs();
  EXPECT_FALSE(held.lease.beginStep(until - configWithoutJitter().maxStepMs + 1));
  EXPECT_TRUE(held.lease.beginStep(until - configWithoutJitter().maxStepMs));
}

TEST(LeaseCandidate, IsDoubtfulWithoutAResponseAndExpiresAtTheEndOfValidity) {
  HeldLease held;
  const double renewAt = held.lease.nextMs();
  ASSERT_TRUE(held.lease.tick(renewAt));
  held.lease.tick(renewAt + configWithoutJitter().requestTimeoutMs);
  EXPECT_EQ(held.lease.state(), LeaseState::kDoubtful);
  EXPECT_TRUE(held.lease.beginStep(renewAt + configWithoutJitter().requestTimeoutMs))
      << "the remaining validity suffices";
  held.lease.endStep(true, renewAt + configWithoutJitter().requestTimeoutMs + 1);
  EXPECT_FALSE(held.lease.tick(held.lease.validUntilMs()));
  EXPECT_EQ(held.lease.state(), LeaseState::kExpired);
  EXPECT_FALSE(held.lease.beginStep(held.lease.validUntilMs()));
  EXPECT_GT(held.lease.counts().doubtfulMs, 0);
  held.lease.tick(held.lease.nextMs());
  EXPECT_EQ(held.lease.state(), LeaseState::kBackingOff);
}

TEST(LeaseCandidate, CountsALateRenewalFromItsRequest) {
  HeldLease held;
  const double renewAt = held.lease.nextMs();
  const LeaseRequest first = *held.lease.tick(renewAt);
  const auto second = held.lease.tick(renewAt + configWithoutJitter().requestTimeoutMs);
  ASSERT_TRUE(second);
  held.lease.onResponse(decide(held.cell, first, renewAt, 0), renewAt + 1500);
  EXPECT_DOUBLE_EQ(held.lease.validUntilMs(), renewAt + validityMs(configWithoutJitter()));
  // A duplicate response and a response to an unknown request are ignored.
  held.lease.onResponse({first.number, LeaseResult::kLost, 9, 0, {}}, renewAt + 1600);
  held.lease.onResponse({77, LeaseResult::kLost, 9, 0, {}}, renewAt + 1600);
  EXPECT_TRUE(held.lease.withinValidity(renewAt + 1600));
}

TEST(LeaseCandidate, AcquiresWithAHigherFenceAfterALostResponse) {
  LeaseCell cell;
  Lease lease(configWithoutJitter(), {"c1", 7}, 1, 0);
  const LeaseRequest lost = *lease.tick(0);
  decide(cell, lost, 0, 0);
  lease.tick(configWithoutJitter().requestTimeoutMs);
  EXPECT_EQ(lease.state(), LeaseState::kBackingOff);
  const double retryAt = lease.nextMs();
  const LeaseRequest request = *lease.tick(retryAt);
  lease.onResponse(decide(cell, request, retryAt, 0), retryAt + 1);
  EXPECT_EQ(lease.state(), LeaseState::kHolding) << "its own earlier grant does not delay it";
  EXPECT_EQ(lease.fence(), 2u);
  // A late duplicate of the first request changes nothing.
  EXPECT_EQ(decide(cell, lost, retryAt + 2, 0).result, LeaseResult::kLost);
  EXPECT_EQ(cell.fence, 2u);
}

TEST(LeaseCandidate, RejectsAGrantWithALowerFence) {
  HeldLease held;
  LeaseCell older;
  held.cell.fence = 9;
  Lease lease(configWithoutJitter(), {"c2", 8}, 1, 0);
  LeaseRequest request = *lease.tick(0);
  lease.onResponse(decide(held.cell, request, 100, 0),
                   100);  // held by another under a higher fence
  const double retryAt = lease.nextMs();
  request = *lease.tick(retryAt);
  EXPECT_EQ(request.fence, 9u);
  // A correct store grants a higher fence, even if it was restored from an older state.
  EXPECT_EQ(decide(older, request, retryAt, 0).fence, 10u);
  // A grant from a store that does not is rejected.
  lease.onResponse({request.number, LeaseResult::kGranted, 5, 0, {}}, retryAt);
  EXPECT_EQ(lease.state(), LeaseState::kBackingOff);
  EXPECT_EQ(lease.counts().rolledBack, 1u);
  EXPECT_FALSE(lease.beginStep(retryAt));
}

TEST(LeaseCandidate, ReleasesAfterItsStepWhenResignedAndCompetesOnlyAfterRejoin) {
  HeldLease held;
  ASSERT_TRUE(held.lease.beginStep(20));
  held.lease.resign(30);
  EXPECT_FALSE(held.lease.tick(40)) << "a step is in progress";
  held.lease.endStep(true, 50);
  const auto release = held.lease.tick(50);
  ASSERT_TRUE(release);
  EXPECT_EQ(release->operation, LeaseOperation::kRelease);
  EXPECT_FALSE(held.lease.beginStep(50));
  held.lease.onResponse(decide(held.cell, *release, 50, 0), 60);
  EXPECT_FALSE(held.cell.record);
  EXPECT_TRUE(held.lease.fullyReleased());
  EXPECT_FALSE(held.lease.tick(60 + 10 * configWithoutJitter().ttlMs)) << "it has resigned";
  held.lease.rejoin(1e6);
  EXPECT_TRUE(held.lease.tick(1e6));
}

TEST(LeaseCandidate, ReleasesTheLeaseWithoutProgress) {
  LeaseConfig config = configWithoutJitter();
  HeldLease held(config);
  double now = 10;
  std::optional<LeaseRequest> request;
  while (now < config.progressTimeoutMs * 2) {
    now = std::max(now + 1, held.lease.nextMs());
    request = held.lease.tick(now);
    if (!request)
      continue;
    if (request->operation == LeaseOperation::kRelease)
      break;
    held.lease.onResponse(decide(held.cell, *request, now, 0), now + 1);
  }
  ASSERT_TRUE(request && request->operation == LeaseOperation::kRelease);
  EXPECT_NEAR(now, config.progressTimeoutMs, 20);
  EXPECT_EQ(held.lease.counts().steppedDown, 1u);
  // A holder that reports that it is idle keeps the lease.
  HeldLease idle(config);
  for (now = 10; now < config.progressTimeoutMs * 3;) {
    now = std::max(now + 1, idle.lease.nextMs());
    idle.lease.markIdle(now);
    if (const auto renew = idle.lease.tick(now))
      idle.lease.onResponse(decide(idle.cell, *renew, now, 0), now + 1);
  }
  EXPECT_EQ(idle.lease.state(), LeaseState::kHolding);
}

TEST(LeaseCandidate, LosesTheLeaseWhenItsFenceIsRefused) {
  HeldLease held;
  ASSERT_TRUE(held.lease.beginStep(20));
  held.lease.onFenceRefused(30);
  EXPECT_EQ(held.lease.state(), LeaseState::kExpired);
}

TEST(LeaseConfigValidation, RejectsUnusableSettings) {
  EXPECT_FALSE(validate(configWithoutJitter()));
  LeaseConfig config = configWithoutJitter();
  config.maxStepMs = 4000;
  EXPECT_TRUE(validate(config)) << "too short for the longest step";
  config = configWithoutJitter();
  config.drift = 0.5;
  EXPECT_TRUE(validate(config));
  config = configWithoutJitter();
  config.ttlMs = std::nan("");
  EXPECT_TRUE(validate(config));
  config = configWithoutJitter();
  config.task.clear();
  EXPECT_TRUE(validate(config));
}

// ---- Exhaustive search

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kSearchDepth = 5, kDeepSearchDepth = 9;
#else
constexpr std::size_t kSearchDepth = 7, kDeepSearchDepth = 12;
#endif

TEST(LeaseModelSearch, FindsNoViolationWithThreeCandidates) {
  const SearchResult result = explore(LeaseModel(Mutant::kNone, 3), kSearchDepth, SIZE_MAX);
  std::cout << "explored " << result.states << " states to depth " << result.depth << "\n";
  EXPECT_EQ(result.violation, "") << ::testing::PrintToString(result.path);
  EXPECT_GE(result.states, 10'000u);
}

// Two candidates without lost messages, duplicates or process restarts: only time, the order of
// events and one store restart vary, so the search can go deeper.
TEST(LeaseModelSearch, FindsNoViolationInLongerPathsWithTwoCandidates) {
  LeaseModel model(Mutant::kNone, 2);
  model.faultBudget = {0, 0, 0, 1};
  const SearchResult result = explore(model, kDeepSearchDepth, SIZE_MAX);
  std::cout << "explored " << result.states << " states to depth " << result.depth << "\n";
  EXPECT_EQ(result.violation, "") << ::testing::PrintToString(result.path);
}

class LeaseModelWithoutGuard : public ::testing::TestWithParam<Mutant> {};

TEST_P(LeaseModelWithoutGuard, SearchFindsAViolation) {
  using Kind = LeaseModel::Kind;
  LeaseModel model(GetParam(), 2);
  model.faultBudget = {0, 0, 0, GetParam() == Mutant::kFenceLost ? 1 : 0};
  // For violations by effects, the search begins with one effect in transit.
  std::vector<LeaseModel::Event> prelude;
  if (GetParam() == Mutant::kNoFence || GetParam() == Mutant::kFenceLost)
    prelude = {{Kind::kRunCandidate, 0},
               {Kind::kDeliverRequest, 0},
               {Kind::kDeliverResponse, 0},
               {Kind::kBeginStep, 0}};
  std::vector<std::string> path;
  for (const LeaseModel::Event& event : prelude) {
    path.push_back(model.describe(event));
    model.apply(event);
  }
  const SearchResult result = explore(model, 16, 1'000'000);
  path.insert(path.end(), result.path.begin(), result.path.end());
  EXPECT_NE(result.violation, "") << "of " << result.states << " states to depth " << result.depth;
  std::cout << nameOf(GetParam()) << ": " << result.violation << " after " << path.size()
            << " steps, " << result.states << " states\n";
  for (const std::string& line : path)
    std::cout << "    " << line << "\n";
}

INSTANTIATE_TEST_SUITE_P(Leases,
                         LeaseModelWithoutGuard,
                         ::testing::Values(Mutant::kNoDriftMargin,
                                           Mutant::kValidFromResponse,
                                           Mutant::kNoFence,
                                           Mutant::kFenceLost));

// ---- Random simulation

// Simulates a fleet with one store: calls are delayed, requests and responses are lost, processes
// are suspended and restarted, and clocks drift.
struct SimulatedFleet {
  struct Node {
    Lease lease;
    double clockRate, suspendedUntil = 0, stepEndsAt = HUGE_VAL;
    std::uint64_t stepFence = 0;
  };

  SimulatedFleet(std::size_t count, unsigned seed) : random(seed), config(configWithoutJitter()) {
    config.candidates = count;
    config.renewJitter = 0.1;
    config.drift = 0.05;
    for (std::size_t i = 0; i < count; ++i)
      nodes.push_back({newLease(i), uniform(1 - config.drift, 1 + config.drift)});
    storeRate = 1 + config.drift;
  }

  double uniform(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(random);
  }
  bool withProbability(double probability) { return uniform(0, 1) < probability; }
  Lease newLease(std::size_t i) {
    return Lease(config, {"n" + std::to_string(i), ++incarnations}, random(), localTime(i, now));
  }
  double localTime(std::size_t i, double atMs) const {
    return i < nodes.size() ? atMs * nodes[i].clockRate : atMs;
  }

  void deliver(std::size_t i, const LeaseRequest& request) {
    ++calls;
    if (withProbability(lossProbability))
      return;
    const LeaseResponse response = decide(cell, request, now * storeRate, 0);
    if (withProbability(lossProbability))
      return;
    responses.emplace(now + uniform(0, maxDelayMs), std::tuple(i, request.holder, response));
  }

  void advance(double ms) {
    now += ms;
    while (!responses.empty() && responses.begin()->first <= now) {
      const auto [i, holder, response] = responses.begin()->second;
      responses.erase(responses.begin());
      if (nodes[i].lease.holder() == holder && now >= nodes[i].suspendedUntil)
        nodes[i].lease.onResponse(response, localTime(i, now));
    }
    std::size_t validHolders = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Node& node = nodes[i];
      const double localNow = localTime(i, now);
      validHolders += node.lease.withinValidity(localNow);
      if (now < node.suspendedUntil)
        continue;
      if (withProbability(restartProbability))
        node = {newLease(i), node.clockRate};
      if (withProbability(suspensionProbability))
        node.suspendedUntil = now + uniform(0, 3 * config.ttlMs);
      if (const auto request = node.lease.tick(localNow))
        deliver(i, *request);
      if (localNow >= node.stepEndsAt) {
        node.stepEndsAt = HUGE_VAL;
        if (resource.accept(node.lease.holder(), node.stepFence))
          node.lease.endStep(true, localNow), ++effects;
        else
          node.lease.onFenceRefused(localNow), ++refused;
      }
      if (const auto fence = node.lease.beginStep(localNow)) {
        node.stepFence = fence->number();
        node.stepEndsAt = localNow + uniform(0, config.maxStepMs);
      }
    }
    maxValidHolders = std::max(maxValidHolders, validHolders);
  }

  std::mt19937 random;
  LeaseConfig config;
  std::vector<Node> nodes;
  LeaseCell cell;
  FencedResource resource;
  std::multimap<double, std::tuple<std::size_t, Holder, LeaseResponse>> responses;
  double now = 0, storeRate = 1, lossProbability = 0.05, maxDelayMs = 400,
         restartProbability = 0.0005, suspensionProbability = 0.0005;
  std::uint64_t incarnations = 0, calls = 0, effects = 0, refused = 0;
  std::size_t maxValidHolders = 0;
};

RC_GTEST_PROP(LeaseFleetSimulation, NeverHasTwoValidHolders, (unsigned seed)) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 101);
  SimulatedFleet fleet(count, seed);
  fleet.lossProbability = *rc::gen::elementOf(std::vector<double>{0, 0.05, 0.5});
  for (int i = 0; i < 2000; ++i) {
    fleet.advance(50);
    RC_ASSERT(fleet.maxValidHolders <= 1);
    RC_ASSERT(fleet.resource.inOrder());
  }
  RC_ASSERT(fleet.lossProbability > 0.1 || fleet.effects > 0);
}

// After the loss of a holder another candidate acts within the lease's duration and one round of
// the candidates' requests. When all candidates restart, their requests are spread over time.
TEST(LargeLeaseFleet, ReplacesALostHolderInTimeWithFewCalls) {
  for (const std::size_t count : {100u, 300u}) {
    std::vector<double> takeoverMs;
    std::uint64_t calls = 0;
    double maxRestartCalls = 0;
    for (unsigned seed = 1; seed <= 12; ++seed) {
      SimulatedFleet fleet(count, seed);
      fleet.lossProbability = fleet.restartProbability = fleet.suspensionProbability = 0;
      fleet.maxDelayMs = 20;
      const double roundMs =
          fleet.config.ttlMs + fleet.config.spreadMs * static_cast<double>(count - 1);
      while (fleet.effects == 0 && fleet.now < 3 * roundMs)
        fleet.advance(10);
      ASSERT_GT(fleet.effects, 0u);
      const double firstEffectAt = fleet.now;
      while (fleet.now < firstEffectAt + 2 * roundMs)
        fleet.advance(10);
      const std::uint64_t callsBefore = fleet.calls;
      const double countedFrom = fleet.now;
      while (fleet.now < countedFrom + 10'000)
        fleet.advance(10);
      calls += fleet.calls - callsBefore;
      for (std::size_t i = 0; i < count; ++i)
        if (fleet.nodes[i].lease.withinValidity(fleet.localTime(i, fleet.now)))
          fleet.nodes[i] = {fleet.newLease(i), fleet.nodes[i].clockRate};
      const double lostAt = fleet.now;
      const std::uint64_t fence = fleet.resource.highestFence();
      while (fleet.resource.highestFence() == fence && fleet.now < lostAt + 4 * roundMs)
        fleet.advance(10);
      takeoverMs.push_back(fleet.now - lostAt);
      // The bound of the design document.
      EXPECT_LE(takeoverMs.back(), fleet.config.ttlMs + roundMs / (1 - fleet.config.drift) +
                                       fleet.config.maxStepMs + 100);
      // Restart all candidates.
      for (std::size_t i = 0; i < count; ++i)
        fleet.nodes[i] = {fleet.newLease(i), fleet.nodes[i].clockRate};
      const std::uint64_t callsBeforeRestart = fleet.calls;
      const double restartedAt = fleet.now;
      while (fleet.now < restartedAt + 1000)
        fleet.advance(10);
      maxRestartCalls =
          std::max(maxRestartCalls, static_cast<double>(fleet.calls - callsBeforeRestart));
    }
    std::sort(takeoverMs.begin(), takeoverMs.end());
    std::cout << count << " candidates: " << static_cast<double>(calls) / 120
              << " calls per second, at most " << maxRestartCalls
              << " in the first second after all restart; another candidate acts "
              << takeoverMs[takeoverMs.size() / 2] << " ms after a loss (median), "
              << takeoverMs.back() << " ms at most, lease 5000 ms\n";
    EXPECT_LE(static_cast<double>(calls) / 120, 25);
    EXPECT_LE(maxRestartCalls, 60);
  }
}

}  // namespace
}  // namespace inference_router
