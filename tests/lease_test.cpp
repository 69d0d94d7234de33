// Leases: the state machine step by step, a search through all orders of what may happen to three
// candidates and a store, and longer random courses with up to a hundred candidates. Each guard has
// a search without it, which has to find the break.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <iostream>
#include <random>

#include "support/lease_world.h"

namespace inference_router {
namespace {

// ---- Step by step
// ----------------------------------------------------------------------------------

LeaseConfig plainConfig() {
  LeaseConfig config;
  config.task = "maintenance";
  config.renewJitter = 0;
  return config;
}

struct Held {
  explicit Held(LeaseConfig config = plainConfig()) : lease(config, {"c1", 7}, 1, 0) {
    ask = *lease.tick(0);
    lease.onResponse(decide(cell, ask, 0, 0), 10);
  }
  LeaseCell cell;
  LeaseRequest ask;
  Lease lease;
};

TEST(LeaseOfOneCandidate, IsAskedForAndHeldFromBeforeItAsked) {
  Held held;
  EXPECT_EQ(held.lease.state(), LeaseState::kHolding);
  EXPECT_EQ(held.lease.fence(), 1u);
  EXPECT_DOUBLE_EQ(held.lease.validUntilMs(), validityMs(plainConfig()));
  EXPECT_LT(validityMs(plainConfig()), plainConfig().ttlMs);
  const auto fence = held.lease.beginStep(10);
  ASSERT_TRUE(fence);
  EXPECT_EQ(fence->number(), 1u);
  EXPECT_FALSE(held.lease.beginStep(10)) << "one step at a time";
}

TEST(LeaseOfOneCandidate, BeginsNoStepThatCouldOutlastIt) {
  Held held;
  const double until = held.lease.validUntilMs();
  EXPECT_FALSE(held.lease.beginStep(until - plainConfig().maxStepMs + 1));
  EXPECT_TRUE(held.lease.beginStep(until - plainConfig().maxStepMs));
}

TEST(LeaseOfOneCandidate, IsDoubtfulWithoutAnAnswerAndLapsedAtItsEnd) {
  Held held;
  const double renewAt = held.lease.nextMs();
  ASSERT_TRUE(held.lease.tick(renewAt));
  held.lease.tick(renewAt + plainConfig().requestTimeoutMs);
  EXPECT_EQ(held.lease.state(), LeaseState::kDoubtful);
  EXPECT_TRUE(held.lease.beginStep(renewAt + plainConfig().requestTimeoutMs))
      << "time enough is left";
  held.lease.endStep(true, renewAt + plainConfig().requestTimeoutMs + 1);
  EXPECT_FALSE(held.lease.tick(held.lease.validUntilMs()));
  EXPECT_EQ(held.lease.state(), LeaseState::kExpired);
  EXPECT_FALSE(held.lease.beginStep(held.lease.validUntilMs()));
  EXPECT_GT(held.lease.counts().doubtfulMs, 0);
  held.lease.tick(held.lease.nextMs());
  EXPECT_EQ(held.lease.state(), LeaseState::kBackingOff);
}

TEST(LeaseOfOneCandidate, ARenewalThatIsAnsweredLateCountsFromWhenItWasAsked) {
  Held held;
  const double renewAt = held.lease.nextMs();
  const LeaseRequest first = *held.lease.tick(renewAt);
  const auto second = held.lease.tick(renewAt + plainConfig().requestTimeoutMs);
  ASSERT_TRUE(second);
  held.lease.onResponse(decide(held.cell, first, renewAt, 0), renewAt + 1500);
  EXPECT_DOUBLE_EQ(held.lease.validUntilMs(), renewAt + validityMs(plainConfig()));
  // Heard twice, it says nothing new; nor does one that nobody asked for.
  held.lease.onResponse({first.number, LeaseResult::kLost, 9, 0, {}}, renewAt + 1600);
  held.lease.onResponse({77, LeaseResult::kLost, 9, 0, {}}, renewAt + 1600);
  EXPECT_TRUE(held.lease.withinValidity(renewAt + 1600));
}

TEST(LeaseOfOneCandidate, ALostAnswerToAnAcquireIsFollowedByOneWithAFenceAbove) {
  LeaseCell cell;
  Lease lease(plainConfig(), {"c1", 7}, 1, 0);
  const LeaseRequest lost = *lease.tick(0);
  decide(cell, lost, 0, 0);
  lease.tick(plainConfig().requestTimeoutMs);
  EXPECT_EQ(lease.state(), LeaseState::kBackingOff);
  const double again = lease.nextMs();
  const LeaseRequest ask = *lease.tick(again);
  lease.onResponse(decide(cell, ask, again, 0), again + 1);
  EXPECT_EQ(lease.state(), LeaseState::kHolding) << "it need not wait for itself";
  EXPECT_EQ(lease.fence(), 2u);
  // The first, repeated by the network now, changes nothing.
  EXPECT_EQ(decide(cell, lost, again + 2, 0).result, LeaseResult::kLost);
  EXPECT_EQ(cell.fence, 2u);
}

TEST(LeaseOfOneCandidate, AFenceThatWouldGoDownIsNotTaken) {
  Held held;
  LeaseCell older;
  held.cell.fence = 9;
  Lease lease(plainConfig(), {"c2", 8}, 1, 0);
  LeaseRequest ask = *lease.tick(0);
  lease.onResponse(decide(held.cell, ask, 100, 0), 100);  // held by another under a higher fence
  const double again = lease.nextMs();
  ask = *lease.tick(again);
  EXPECT_EQ(ask.fence, 9u);
  // A store that obeys grants above it, also one that was put back to an older state...
  EXPECT_EQ(decide(older, ask, again, 0).fence, 10u);
  // ...and one that does not is not believed.
  lease.onResponse({ask.number, LeaseResult::kGranted, 5, 0, {}}, again);
  EXPECT_EQ(lease.state(), LeaseState::kBackingOff);
  EXPECT_EQ(lease.counts().rolledBack, 1u);
  EXPECT_FALSE(lease.beginStep(again));
}

TEST(LeaseOfOneCandidate, ResignsOnceItsStepHasEndedAndStaysBehindTheOthers) {
  Held held;
  ASSERT_TRUE(held.lease.beginStep(20));
  held.lease.resign(30);
  EXPECT_FALSE(held.lease.tick(40)) << "a step is under way";
  held.lease.endStep(true, 50);
  const auto release = held.lease.tick(50);
  ASSERT_TRUE(release);
  EXPECT_EQ(release->operation, LeaseOperation::kRelease);
  EXPECT_FALSE(held.lease.beginStep(50));
  held.lease.onResponse(decide(held.cell, *release, 50, 0), 60);
  EXPECT_FALSE(held.cell.record);
  EXPECT_TRUE(held.lease.fullyReleased());
  EXPECT_FALSE(held.lease.tick(60 + 10 * plainConfig().ttlMs)) << "it has resigned";
  held.lease.rejoin(1e6);
  EXPECT_TRUE(held.lease.tick(1e6));
}

TEST(LeaseOfOneCandidate, AHolderThatRenewsAndDoesNoWorkGivesWay) {
  LeaseConfig config = plainConfig();
  Held held(config);
  double now = 10;
  std::optional<LeaseRequest> ask;
  while (now < config.progressTimeoutMs * 2) {
    now = std::max(now + 1, held.lease.nextMs());
    ask = held.lease.tick(now);
    if (!ask)
      continue;
    if (ask->operation == LeaseOperation::kRelease)
      break;
    held.lease.onResponse(decide(held.cell, *ask, now, 0), now + 1);
  }
  ASSERT_TRUE(ask && ask->operation == LeaseOperation::kRelease);
  EXPECT_NEAR(now, config.progressTimeoutMs, 20);
  EXPECT_EQ(held.lease.counts().steppedDown, 1u);
  // One that has nothing to do, and says so, keeps it.
  Held idle(config);
  for (now = 10; now < config.progressTimeoutMs * 3;) {
    now = std::max(now + 1, idle.lease.nextMs());
    idle.lease.markIdle(now);
    if (const auto renew = idle.lease.tick(now))
      idle.lease.onResponse(decide(idle.cell, *renew, now, 0), now + 1);
  }
  EXPECT_EQ(idle.lease.state(), LeaseState::kHolding);
}

TEST(LeaseOfOneCandidate, AnEffectThatIsRefusedForItsFenceEndsIt) {
  Held held;
  ASSERT_TRUE(held.lease.beginStep(20));
  held.lease.onFenceRefused(30);
  EXPECT_EQ(held.lease.state(), LeaseState::kExpired);
}

TEST(LeaseTermsOfATask, ThatCannotKeepThePromiseAreToldApart) {
  EXPECT_FALSE(validate(plainConfig()));
  LeaseConfig config = plainConfig();
  config.maxStepMs = 4000;
  EXPECT_TRUE(validate(config)) << "shorter than its longest step";
  config = plainConfig();
  config.drift = 0.5;
  EXPECT_TRUE(validate(config));
  config = plainConfig();
  config.ttlMs = std::nan("");
  EXPECT_TRUE(validate(config));
  config = plainConfig();
  config.task.clear();
  EXPECT_TRUE(validate(config));
}

// ---- Every order
// -----------------------------------------------------------------------------------

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kDepth = 5, kLongDepth = 9;
#else
constexpr std::size_t kDepth = 7, kLongDepth = 12;
#endif

TEST(LeaseExplorer, FindsNoOrderInWhichTwoActAtOnce) {
  const Explored found = explore(World(Mutant::kNone, 3), kDepth, SIZE_MAX);
  std::cout << "explored " << found.states << " states to depth " << found.depth << "\n";
  EXPECT_EQ(found.broken, "") << ::testing::PrintToString(found.course);
  EXPECT_GE(found.states, 10'000u);
}

// Two candidates and no chance troubles: nothing but time, order and pauses, and so a good deal
// deeper.
TEST(LeaseExplorer, FindsNoneInLongerCoursesOfTwoCandidates) {
  World world(Mutant::kNone, 2);
  world.budget = {0, 0, 0, 1};
  const Explored found = explore(world, kLongDepth, SIZE_MAX);
  std::cout << "explored " << found.states << " states to depth " << found.depth << "\n";
  EXPECT_EQ(found.broken, "") << ::testing::PrintToString(found.course);
}

class WithoutAGuard : public ::testing::TestWithParam<Mutant> {};

TEST_P(WithoutAGuard, TheExplorerFindsTheBreak) {
  using Kind = World::Kind;
  World world(GetParam(), 2);
  world.budget = {0, 0, 0, GetParam() == Mutant::kFenceForgotten ? 1 : 0};
  // Where the break lies in effects, the search begins as one of them is on its way.
  std::vector<World::Step> prelude;
  if (GetParam() == Mutant::kNoFence || GetParam() == Mutant::kFenceForgotten)
    prelude = {{Kind::kRun, 0}, {Kind::kAsk, 0}, {Kind::kAnswer, 0}, {Kind::kAct, 0}};
  std::vector<std::string> course;
  for (const World::Step& step : prelude) {
    course.push_back(world.say(step));
    world.take(step);
  }
  const Explored found = explore(world, 16, 1'000'000);
  course.insert(course.end(), found.course.begin(), found.course.end());
  EXPECT_NE(found.broken, "") << "of " << found.states << " states to depth " << found.depth;
  std::cout << nameOf(GetParam()) << ": " << found.broken << " after " << course.size()
            << " steps, " << found.states << " states\n";
  for (const std::string& line : course)
    std::cout << "    " << line << "\n";
}

INSTANTIATE_TEST_SUITE_P(Leases,
                         WithoutAGuard,
                         ::testing::Values(Mutant::kNoDriftMargin,
                                           Mutant::kValidFromAnswer,
                                           Mutant::kNoFence,
                                           Mutant::kFenceForgotten));

// ---- Longer, at random
// -----------------------------------------------------------------------------

// A fleet against one store, by events: calls take a while, some are lost either way, processes
// pause, die and come back, clocks drift.
struct Fleet {
  struct Node {
    Lease lease;
    double rate, pausedUntil = 0, stepEnds = HUGE_VAL;
    std::uint64_t stepFence = 0;
  };

  Fleet(std::size_t count, unsigned seed) : random(seed), config(plainConfig()) {
    config.candidates = count;
    config.renewJitter = 0.1;
    config.drift = 0.05;
    for (std::size_t i = 0; i < count; ++i)
      nodes.push_back({fresh(i), draw(1 - config.drift, 1 + config.drift)});
    storeRate = 1 + config.drift;
  }

  double draw(double least, double most) {
    return std::uniform_real_distribution<>(least, most)(random);
  }
  bool chance(double share) { return draw(0, 1) < share; }
  Lease fresh(std::size_t i) {
    return Lease(config, {"n" + std::to_string(i), ++incarnations}, random(), local(i, now));
  }
  double local(std::size_t i, double at) const {
    return i < nodes.size() ? at * nodes[i].rate : at;
  }

  void deliver(std::size_t i, const LeaseRequest& ask) {
    ++calls;
    if (chance(lossShare))
      return;
    const LeaseResponse answer = decide(cell, ask, now * storeRate, 0);
    if (chance(lossShare))
      return;
    answers.emplace(now + draw(0, slowMs), std::tuple(i, ask.holder, answer));
  }

  void step(double ms) {
    now += ms;
    while (!answers.empty() && answers.begin()->first <= now) {
      const auto [i, who, answer] = answers.begin()->second;
      answers.erase(answers.begin());
      if (nodes[i].lease.holder() == who && now >= nodes[i].pausedUntil)
        nodes[i].lease.onResponse(answer, local(i, now));
    }
    std::size_t within = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Node& node = nodes[i];
      const double mine = local(i, now);
      within += node.lease.withinValidity(mine);
      if (now < node.pausedUntil)
        continue;
      if (chance(killShare))
        node = {fresh(i), node.rate};
      if (chance(pauseShare))
        node.pausedUntil = now + draw(0, 3 * config.ttlMs);
      if (const auto ask = node.lease.tick(mine))
        deliver(i, *ask);
      if (mine >= node.stepEnds) {
        node.stepEnds = HUGE_VAL;
        if (witness.take(node.lease.holder(), node.stepFence))
          node.lease.endStep(true, mine), ++effects;
        else
          node.lease.onFenceRefused(mine), ++refused;
      }
      if (const auto fence = node.lease.beginStep(mine)) {
        node.stepFence = fence->number();
        node.stepEnds = mine + draw(0, config.maxStepMs);
      }
    }
    mostWithin = std::max(mostWithin, within);
  }

  std::mt19937 random;
  LeaseConfig config;
  std::vector<Node> nodes;
  LeaseCell cell;
  Witness witness;
  std::multimap<double, std::tuple<std::size_t, Holder, LeaseResponse>> answers;
  double now = 0, storeRate = 1, lossShare = 0.05, slowMs = 400, killShare = 0.0005,
         pauseShare = 0.0005;
  std::uint64_t incarnations = 0, calls = 0, effects = 0, refused = 0;
  std::size_t mostWithin = 0;
};

RC_GTEST_PROP(LeaseAmongMany, NeverTwoAtOnceWhateverHappens, (unsigned seed)) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 101);
  Fleet fleet(count, seed);
  fleet.lossShare = *rc::gen::elementOf(std::vector<double>{0, 0.05, 0.5});
  for (int i = 0; i < 2000; ++i) {
    fleet.step(50);
    RC_ASSERT(fleet.mostWithin <= 1);
    RC_ASSERT(fleet.witness.inOrder());
  }
  RC_ASSERT(fleet.lossShare > 0.1 || fleet.effects > 0);
}

// After the holder is lost another acts within the lease and one turn of the candidates; a restart
// wave does not ask all at once.
TEST(LeaseAtSize, AnotherActsWithinTheStatedTimeAndCallsStayFew) {
  for (const std::size_t count : {100u, 300u}) {
    std::vector<double> gaps;
    std::uint64_t calls = 0;
    double most = 0;
    for (unsigned seed = 1; seed <= 12; ++seed) {
      Fleet fleet(count, seed);
      fleet.lossShare = fleet.killShare = fleet.pauseShare = 0;
      fleet.slowMs = 20;
      const double period =
          fleet.config.ttlMs + fleet.config.spreadMs * static_cast<double>(count - 1);
      while (fleet.effects == 0 && fleet.now < 3 * period)
        fleet.step(10);
      ASSERT_GT(fleet.effects, 0u);
      const double start = fleet.now;
      while (fleet.now < start + 2 * period)
        fleet.step(10);
      const std::uint64_t before = fleet.calls;
      const double from = fleet.now;
      while (fleet.now < from + 10'000)
        fleet.step(10);
      calls += fleet.calls - before;
      for (std::size_t i = 0; i < count; ++i)
        if (fleet.nodes[i].lease.withinValidity(fleet.local(i, fleet.now)))
          fleet.nodes[i] = {fleet.fresh(i), fleet.nodes[i].rate};
      const double lost = fleet.now;
      const std::uint64_t fence = fleet.witness.highest();
      while (fleet.witness.highest() == fence && fleet.now < lost + 4 * period)
        fleet.step(10);
      gaps.push_back(fleet.now - lost);
      // The bound of the design note.
      EXPECT_LE(gaps.back(), fleet.config.ttlMs + period / (1 - fleet.config.drift) +
                                 fleet.config.maxStepMs + 100);
      // All restart.
      for (std::size_t i = 0; i < count; ++i)
        fleet.nodes[i] = {fleet.fresh(i), fleet.nodes[i].rate};
      const std::uint64_t wave = fleet.calls;
      const double at = fleet.now;
      while (fleet.now < at + 1000)
        fleet.step(10);
      most = std::max(most, static_cast<double>(fleet.calls - wave));
    }
    std::sort(gaps.begin(), gaps.end());
    std::cout << count << " candidates: " << static_cast<double>(calls) / 120
              << " calls a second, at most " << most
              << " in the first second after all restart; another acts " << gaps[gaps.size() / 2]
              << " ms after a loss (median), " << gaps.back() << " ms at most, lease 5000 ms\n";
    EXPECT_LE(static_cast<double>(calls) / 120, 25);
    EXPECT_LE(most, 60);
  }
}

}  // namespace
}  // namespace inference_router
