// Shared state of whole simulated fleets: up to three hundred routers under partitions, pauses and
// crashes, checked against the bounds of docs/design/shared-state.md. Further tests switch off the
// safety checks one by one, which has to be detected.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <iostream>

#include "support/simulated_fleet.h"

namespace inference_router {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kSlow = true;  // a build with sanitizers takes about ten times as long
#else
constexpr bool kSlow = false;
#endif

// ---- Random faults ----

// Injects one random fault. Faults overlap, as they last until a later one ends them.
void injectFault(SimulatedFleet& fleet) {
  const std::size_t n = fleet.nodes.size();
  const auto forShare = [&](double share, const auto& action) {
    const std::size_t first = fleet.random() % n,
                      count = std::max<std::size_t>(
                          1, static_cast<std::size_t>(share * static_cast<double>(n)));
    for (std::size_t k = 0; k < count; ++k)
      action((first + k) % n);
  };
  switch (fleet.random() % 10) {
    case 0:  // a third of the routers cannot reach the store
      return forShare(
          0.33, [&](std::size_t i) { fleet.nodes[i].canRead = fleet.nodes[i].canWrite = false; });
    case 1:  // routers can write, but not read
      return forShare(0.2, [&](std::size_t i) { fleet.nodes[i].canRead = false; });
    case 2:  // routers can read, but not write
      return forShare(0.2, [&](std::size_t i) { fleet.nodes[i].canWrite = false; });
    case 3:
    case 4:  // all connections are restored
      for (auto& node : fleet.nodes)
        node.canRead = node.canWrite = true;
      return;
    case 5:  // routers pause
      return forShare(0.1, [&](std::size_t i) {
        if (fleet.alive(i))
          fleet.nodes[i].pausedUntilMs = fleet.now + fleet.draw(1000, 40'000);
      });
    case 6:  // routers crash
      return forShare(0.05, [&](std::size_t i) { fleet.kill(i, fleet.draw(200, 20'000)); });
    case 7:  // sometimes most routers restart at once
      if (fleet.random() % 3 == 0)
        return forShare(0.8, [&](std::size_t i) { fleet.kill(i, fleet.draw(200, 3'000)); });
      return;
    case 8:  // the lease moves to another router
      return fleet.acquireLease(fleet.random() % n);
    default:  // the store may become unreachable, or lose messages
      fleet.storeUp = fleet.random() % 3 != 0;
      fleet.lossShare = fleet.chance(0.5) ? 0.2 : 0;
  }
}

void heal(SimulatedFleet& fleet) {
  fleet.storeUp = true;
  fleet.lossShare = 0;
  for (auto& node : fleet.nodes) {
    node.canRead = node.canWrite = true;
    node.pausedUntilMs = std::min(node.pausedUntilMs, fleet.now);
    node.instancesUnreachable = false;
  }
  fleet.acquireLease(fleet.random() % fleet.nodes.size());
}

Digest digestIn(const SimulatedFleet& fleet) {
  const auto document = fleet.store.documents.find(kDigestKey);
  return document == fleet.store.documents.end()
             ? Digest{}
             : decodeDigest(document->second.value).digest.value_or(Digest{});
}

// Checks outstanding loans, as given by the digest and by the parts in the store.
void expectLoansWithinBudgets(const SimulatedFleet& fleet) {
  const Digest digest = digestIn(fleet);
  for (const auto& [tenant, line] : digest.budgets) {
    std::uint64_t returned = 0, lent = 0;
    for (const auto& [origin, tokens] : line.lent) {
      Part part;
      part.origin = origin;
      const auto own = fleet.store.documents.find(part.key());
      const auto stored =
          own == fleet.store.documents.end() ? std::nullopt : decodePart(own->second.value).part;
      lent += tokens;
      if (stored && stored->period == digest.period && stored->spends.count(tenant) != 0)
        returned += std::min(tokens, stored->spends.at(tenant).returned);
    }
    EXPECT_LE(line.charged + lent - returned, line.limit)
        << tenant << " at digest " << digest.sequence;
  }
}

struct RunResult {
  std::int64_t overshoot = 0;
  bool usageWithinBounds = true;
};

RunResult runWithFaults(SimulatedFleet& fleet, double seconds, bool checkLoans = true) {
  RunResult result;
  double nextFaultMs = 5'000;
  for (const double endMs = fleet.now + seconds * 1000; fleet.now < endMs;) {
    fleet.step();
    if (fleet.now < nextFaultMs)
      continue;
    nextFaultMs = fleet.now + fleet.draw(500, 4'000);
    injectFault(fleet);
    if (checkLoans)
      expectLoansWithinBudgets(fleet);
  }
  heal(fleet);
  fleet.traffic = false;
  // All requests end, all usage is reported, and all ended routers are evicted.
  fleet.run(5'000 + 2 * fleet.options.config.evictAfterMs + 10'000);
  result.overshoot = fleet.overshoot();
  const UsageTable reported = digestIn(fleet).total;
  // The digest never exceeds the actual usage, and lacks at most the usage of killed routers.
  result.usageWithinBounds = isMonotonic(fleet.countedUsage, reported);
  UsageTable reportedOrLost = reported;
  addUsage(reportedOrLost, fleet.lostUsage);
  result.usageWithinBounds =
      result.usageWithinBounds && isMonotonic(reportedOrLost, fleet.countedUsage);
  return result;
}

class SharedStateUnderFaults : public ::testing::TestWithParam<std::pair<std::size_t, unsigned>> {};

TEST_P(SharedStateUnderFaults, BudgetsHoldAndUsageIsNotOvercounted) {
  const auto [count, seed] = GetParam();
  if (kSlow && count >= 100)
    GTEST_SKIP() << "large fleets run only in builds without sanitizers";
  SimulatedFleet::Options options{.nodes = count, .seed = seed, .load = 2};
  if (count >= 100)
    options.config.digestMs = 1'000;
  SimulatedFleet fleet(options);
  const RunResult result = runWithFaults(fleet, kSlow          ? 20
                                                : count > 100  ? 30
                                                : count == 100 ? 60
                                                               : 200);
  EXPECT_LE(result.overshoot, 0) << "seed " << seed;
  EXPECT_TRUE(result.usageWithinBounds) << "seed " << seed;
  std::uint64_t billed = 0, actual = 0, refused = 0;
  const Digest last = digestIn(fleet);
  for (const auto& [key, counters] : last.total)
    billed += counters.billed();
  for (const auto& [key, counters] : fleet.countedUsage)
    actual += counters.billed();
  for (const auto& [denial, occurrences] : fleet.denied)
    refused += occurrences;
  std::cout << count << " nodes, seed " << seed << ": smallest unused budget " << -result.overshoot
            << " tokens, billed " << billed << " of " << actual << ", " << fleet.kills << " kills, "
            << fleet.requests << " requests, " << refused << " refused, " << fleet.digests
            << " digests, largest digest " << fleet.store.documents.at(kDigestKey).value.size()
            << " bytes\n";
  EXPECT_GT(fleet.granted, 100u);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         SharedStateUnderFaults,
                         ::testing::Values(std::pair(std::size_t(3), 1U),
                                           std::pair(std::size_t(12), 2U),
                                           std::pair(std::size_t(12), 3U),
                                           std::pair(std::size_t(100), 4U),
                                           std::pair(std::size_t(300), 5U)));

// Without faults, the fleet can use most of each budget, and all usage reaches the digest.
TEST(SharedStateWithoutFaults, UsesMostOfEachBudgetAndBillsExactly) {
  for (const std::size_t count : {2, 12, 100}) {
    if (kSlow && count > 2)
      continue;
    SimulatedFleet fleet({.nodes = count, .seed = 7, .load = 2});
    fleet.run(190'000);
    heal(fleet);
    fleet.traffic = false;
    fleet.run(10'000);
    EXPECT_LE(fleet.overshoot(), 0);
    EXPECT_EQ(digestIn(fleet).total, fleet.countedUsage);
    double minUsedShare = 1;
    for (const auto& [key, usage] : fleet.actualUsage) {
      const double usedShare = static_cast<double>(usage.committed) /
                               static_cast<double>(fleet.options.config.budgets.at(key.first));
      if (key.second != 0 && static_cast<double>(key.second) < fleet.unixMs() - 70'000)
        minUsedShare = std::min(minUsedShare, usedShare);
    }
    std::cout << count << " nodes: at least " << minUsedShare << " of each budget used\n";
    EXPECT_GT(minUsedShare, 0.6) << count;
  }
}

// ---- Missing safety checks and simpler schemes ----

using Change = std::function<void(SimulatedFleet::Options&)>;
using Scenario = std::function<void(SimulatedFleet&)>;

// The largest excess over a budget in five runs, under traffic of six times the budget.
std::int64_t worstOvershoot(const Change& change,
                            const Scenario& scenario,
                            std::size_t nodes = 12) {
  std::int64_t worst = INT64_MIN;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    SimulatedFleet::Options options{.nodes = nodes, .seed = seed, .load = 6};
    change(options);
    SimulatedFleet fleet(options);
    scenario(fleet);
    worst = std::max(worst, fleet.overshoot());
  }
  return worst;
}

// Repeatedly, a third of the routers cannot write for a while, spends what it may, and is killed.
void partitionAndKill(SimulatedFleet& fleet) {
  for (int round = 0; round < 20; ++round) {
    const std::size_t first = fleet.random() % fleet.nodes.size();
    const auto forThird = [&](const auto& action) {
      for (std::size_t k = 0; k < fleet.nodes.size() / 3; ++k)
        action((first + k) % fleet.nodes.size());
    };
    forThird([&](std::size_t i) { fleet.nodes[i].canWrite = false; });
    fleet.run(4'000);
    forThird([&](std::size_t i) { fleet.kill(i, 100); });
    forThird([&](std::size_t i) { fleet.nodes[i].canWrite = true; });
    fleet.acquireLease(fleet.random() % fleet.nodes.size());
    fleet.run(2'000);
  }
}

// Clients move between routers.
void moveClients(SimulatedFleet& fleet) {
  for (int round = 0; round < 24; ++round) {
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
      fleet.nodes[i].receivesRequests = (i + static_cast<std::size_t>(round)) % 3 != 0;
    fleet.run(7'000);
  }
}

// The store is rolled back while all routers run and write, and another router becomes the lease
// holder.
void rollBackStore(SimulatedFleet& fleet) {
  for (int round = 0; round < 5; ++round) {
    fleet.run(fleet.draw(5'000, 15'000));
    const auto copy = fleet.store;
    fleet.run(fleet.draw(2'000, 9'000));
    fleet.store = copy;
    fleet.acquireLease(fleet.random() % fleet.nodes.size());
  }
  fleet.run(40'000);
}

TEST(BudgetSafetyChecks, RemovalOfAnyCheckExceedsABudget) {
  if (kSlow)
    GTEST_SKIP() << "many runs, only in builds without sanitizers";
  const auto expectDetected = [](const char* check, const Scenario& scenario,
                                 const Change& without) {
    EXPECT_LE(worstOvershoot([](auto&) {}, scenario), 0) << "with " << check;
    const std::int64_t worst = worstOvershoot(without, scenario);
    std::cout << "without " << check << ": " << worst << " tokens over a budget\n";
    EXPECT_GT(worst, 0) << check;
  };
  expectDetected("accepted ceilings", partitionAndKill,
                 [](auto& options) { options.config.budget.enforceCeiling = false; });
  expectDetected("charging the ceiling of evicted routers", partitionAndKill,
                 [](auto& options) { options.config.guards.chargeCeiling = false; });
  expectDetected("excluding returned tokens", moveClients,
                 [](auto& options) { options.config.budget.excludeReturned = false; });
  expectDetected("waiting before lending after a rollback", rollBackStore,
                 [](auto& options) { options.config.guards.waitBeforeLending = false; });
}

// With a count per router, or with one shared counter to which routers add while they can write, a
// partition of a third of the routers for a few seconds is enough to exceed a budget.
TEST(SimplerBudgetSchemes, ExceedTheBudget) {
  if (kSlow)
    GTEST_SKIP() << "many runs, only in builds without sanitizers";
  const auto overshootOf = [](SimulatedFleet::BudgetScheme scheme) {
    return worstOvershoot([scheme](auto& options) { options.scheme = scheme; }, partitionAndKill);
  };
  const std::int64_t localCounts = overshootOf(SimulatedFleet::BudgetScheme::kLocalCounts),
                     sharedCounter = overshootOf(SimulatedFleet::BudgetScheme::kSharedCounter);
  std::cout << "12 nodes, tokens over a budget: local counts " << localCounts
            << ", one shared counter " << sharedCounter << "\n";
  EXPECT_GT(localCounts, 0);
  EXPECT_GT(sharedCounter, 0);
}

// ---- Verdicts ----

SimulatedFleet::Options withInstances(std::size_t nodes, unsigned seed) {
  return {.nodes = nodes, .seed = seed, .load = 0.2};
}

void addInstances(SimulatedFleet& fleet, std::size_t perRole, std::uint32_t cells) {
  for (std::size_t k = 0; k < perRole; ++k) {
    fleet.instances["r" + std::to_string(k)] = {"read", static_cast<std::uint32_t>(k) % cells,
                                                true};
    fleet.instances["w" + std::to_string(k)] = {"write", static_cast<std::uint32_t>(k) % cells,
                                                true};
  }
}

std::size_t countExcluding(const SimulatedFleet& fleet, const std::string& instance) {
  std::size_t count = 0;
  for (const auto& node : fleet.nodes)
    if (node.shared)
      count += node.shared->availabilities(fleet.instances, fleet.now).at(instance) ==
               Availability::kExcluded;
  return count;
}

TEST(Verdicts, ReachAllRoutersAndEndBySingleProbes) {
  SimulatedFleet fleet(withInstances(kSlow ? 30 : 100, 3));
  addInstances(fleet, 12, 3);
  fleet.run(15'000);
  fleet.failingInstances = {"r4"};
  fleet.failedAttempts = 0;
  fleet.run(10'000);
  EXPECT_GE(countExcluding(fleet, "r4"), fleet.nodes.size() - 5)
      << "all but the probing router and those with an older digest";
  EXPECT_EQ(countExcluding(fleet, "r5"), 0u);
  const std::uint64_t attemptsUntilExcluded = fleet.failedAttempts;
  fleet.failedAttempts = 0;
  fleet.run(60'000);
  std::cout << fleet.nodes.size() << " nodes: " << attemptsUntilExcluded
            << " attempts until all routers excluded it, " << fleet.failedAttempts
            << " in the minute after\n";
  EXPECT_TRUE(digestIn(fleet).instances.at("r4").excluded) << "no probe succeeded";
  // Without shared verdicts, each router would have made about 24 attempts in that minute.
  EXPECT_LT(fleet.failedAttempts * 5, fleet.nodes.size() * 24);
  fleet.failingInstances.clear();
  fleet.run(30'000);
  EXPECT_EQ(countExcluding(fleet, "r4"), 0u) << "a probe succeeded";
}

// A router that has lost its own connection finds every instance unhealthy, and later a third of
// the routers do.
TEST(Verdicts, IgnoreWitnessesWithoutConnection) {
  for (const bool trustSingleWitness : {false, true}) {
    SimulatedFleet::Options options = withInstances(12, 4);
    options.trustSingleWitness = trustSingleWitness;
    options.config.guards.credibleOnly = !trustSingleWitness;
    SimulatedFleet fleet(options);
    addInstances(fleet, 6, 2);
    fleet.run(15'000);
    fleet.minInUse = SIZE_MAX;
    fleet.nodes[3].instancesUnreachable = true;
    fleet.run(20'000);
    const std::size_t minInUseWithOne = fleet.minInUse;
    for (std::size_t i = 4; i < 7; ++i)
      fleet.nodes[i].instancesUnreachable = true;
    fleet.run(30'000);
    std::cout << (trustSingleWitness ? "any witness trusted: " : "as the program: ")
              << minInUseWithOne
              << " of 6 instances of a role in use with one disconnected router, " << fleet.minInUse
              << " with four of 12\n";
    if (trustSingleWitness)
      EXPECT_EQ(minInUseWithOne, 0u) << "one router excludes all instances";
    else
      EXPECT_EQ(fleet.minInUse, 6u);
  }
}

// Whichever instances fail, the exclusion limits of a role and of a role within a cell hold.
TEST(Verdicts, NeverExcludeMoreThanTheLimit) {
  SimulatedFleet fleet(withInstances(30, 5));
  addInstances(fleet, 9, 3);
  fleet.run(5'000);
  std::size_t excludedTotal = 0;
  for (int round = 0; round < 12; ++round) {
    fleet.failingInstances.clear();
    for (const auto& [id, instance] : fleet.instances)
      if (fleet.chance(0.4))
        fleet.failingInstances.insert(id);
    fleet.instances["r0"].serves = round % 2 == 0;  // an operator excludes one as well
    injectFault(fleet);
    fleet.run(8'000);
    for (const auto& node : fleet.nodes) {
      if (!node.shared)
        continue;
      std::map<std::string, std::size_t> excludedOfRole, excludedOfCell;
      for (const auto& [id, availability] :
           node.shared->availabilities(fleet.instances, fleet.now)) {
        const KnownInstance& instance = fleet.instances.at(id);
        const bool excluded = availability == Availability::kExcluded ||
                              availability == Availability::kLocallyHealthy ||
                              availability == Availability::kProbing;
        EXPECT_EQ(availability == Availability::kOperator, !instance.serves);
        if (!excluded)
          continue;
        ++excludedTotal;
        ++excludedOfRole[instance.role];
        ++excludedOfCell[instance.role + std::to_string(instance.cell)];
      }
      for (const auto& [name, count] : excludedOfRole)
        EXPECT_LE(count + (name == "read" && !fleet.instances["r0"].serves), 3u);
      for (const auto& [name, count] : excludedOfCell)
        EXPECT_LE(count, 1u) << name;
    }
  }
  EXPECT_GT(excludedTotal, 0u) << "the limits are only tested if instances are excluded";
}

// ---- Single routers ----

// A router that was paused for longer than its loan spends nothing of the expired loan. Its usage
// is charged and counted exactly once.
TEST(PausedRouter, SpendsNothingOfAnExpiredLoanAndReturnsAsANewIncarnation) {
  SimulatedFleet fleet({.nodes = 3, .seed = 9, .load = 2});
  fleet.run(20'000);
  SharedNode& node = *fleet.nodes[1].shared;
  const std::uint64_t before = node.self().incarnation;
  ASSERT_EQ(node.reserve("attiki", 100, fleet.now).denial, Denial::kNone);
  fleet.nodes[1].pausedUntilMs = fleet.now + 30'000;
  fleet.run(29'500);
  EXPECT_EQ(node.reserve("attiki", 100, fleet.now).denial, Denial::kLoanExpired);
  fleet.run(15'000);
  EXPECT_NE(node.self().incarnation, before);
  EXPECT_EQ(node.stats().evicted, 1u);
  EXPECT_EQ(digestIn(fleet).foldedOf({"n1", before}), nullptr) << "its actual usage was refunded";
  fleet.traffic = false;
  fleet.run(15'000);
  EXPECT_EQ(digestIn(fleet).total, fleet.countedUsage);
  EXPECT_LE(fleet.overshoot(), 0);
}

// Nothing more is lent after a limit was lowered below what was already spent.
TEST(LoweredBudget, LendsNothingMore) {
  SimulatedFleet fleet({.nodes = 3, .seed = 10, .load = 1});
  fleet.run(40'000);
  fleet.options.config.budgets["attiki"] = 10;
  fleet.run(5'000);
  const BudgetLine line = digestIn(fleet).budgets.at("attiki");
  EXPECT_EQ(line.available, 0u);
  const auto lent = line.lent;
  fleet.run(5'000);
  const Digest later = digestIn(fleet);
  for (const auto& [origin, tokens] : later.budgets.at("attiki").lent)
    EXPECT_LE(tokens, lent.count(origin) != 0 ? lent.at(origin) : 0u);
}

}  // namespace
}  // namespace inference_router
