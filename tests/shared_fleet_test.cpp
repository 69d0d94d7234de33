// Shared state of whole fleets in memory: up to three hundred routers under partitions, pauses
// and crashes, checked against the bounds of docs/design/shared-state.md, and safety checks that
// are switched off one by one, each of which has to be noticed.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <iostream>

#include "support/shared_world.h"

namespace inference_router {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kSlow = true;  // the sanitizers' build takes some ten times as long
#else
constexpr bool kSlow = false;
#endif

// ---- A fleet under whatever happens
// --------------------------------------------------------------------

// One trouble after another, drawn, several at a time.
void trouble(SharedWorld& world) {
  const std::size_t n = world.nodes.size();
  const auto some = [&](double share, const auto& what) {
    const std::size_t from = world.random() % n,
                      count = std::max<std::size_t>(
                          1, static_cast<std::size_t>(share * static_cast<double>(n)));
    for (std::size_t k = 0; k < count; ++k)
      what((from + k) % n);
  };
  switch (world.random() % 10) {
    case 0:  // a third is cut off
      return some(0.33,
                  [&](std::size_t i) { world.nodes[i].reads = world.nodes[i].writes = false; });
    case 1:  // one way only
      return some(0.2, [&](std::size_t i) { world.nodes[i].reads = false; });
    case 2:
      return some(0.2, [&](std::size_t i) { world.nodes[i].writes = false; });
    case 3:  // links come back
    case 4:
      for (auto& node : world.nodes)
        node.reads = node.writes = true;
      return;
    case 5:
      return some(0.1, [&](std::size_t i) {
        if (world.alive(i))
          world.nodes[i].stoppedUntil = world.now + world.draw(1000, 40'000);
      });
    case 6:
      return some(0.05, [&](std::size_t i) { world.kill(i, world.draw(200, 20'000)); });
    case 7:  // a wave of restarts
      if (world.random() % 3 == 0)
        return some(0.8, [&](std::size_t i) { world.kill(i, world.draw(200, 3'000)); });
      return;
    case 8:
      return world.hold(world.random() % n);
    default:
      world.storeUp = world.random() % 3 != 0;
      world.lossShare = world.chance(0.5) ? 0.2 : 0;
  }
}

void heal(SharedWorld& world) {
  world.storeUp = true;
  world.lossShare = 0;
  for (auto& node : world.nodes) {
    node.reads = node.writes = true;
    node.stoppedUntil = std::min(node.stoppedUntil, world.now);
    node.badLink = false;
  }
  world.hold(world.random() % world.nodes.size());
}

Digest digestIn(const SharedWorld& world) {
  const auto document = world.store.documents.find(kDigestKey);
  return document == world.store.documents.end()
             ? Digest{}
             : decodeDigest(document->second.value).digest.value_or(Digest{});
}

// What the lender has out, by its own digest and by the parts as they lie in the store.
void expectLoansWithinBudgets(const SharedWorld& world) {
  const Digest digest = digestIn(world);
  for (const auto& [tenant, line] : digest.budgets) {
    std::uint64_t returned = 0, lent = 0;
    for (const auto& [origin, tokens] : line.lent) {
      Part part;
      part.origin = origin;
      const auto own = world.store.documents.find(part.key());
      const auto said =
          own == world.store.documents.end() ? std::nullopt : decodePart(own->second.value).part;
      lent += tokens;
      if (said && said->period == digest.period && said->spends.count(tenant) != 0)
        returned += std::min(tokens, said->spends.at(tenant).returned);
    }
    EXPECT_LE(line.charged + lent - returned, line.limit)
        << tenant << " at digest " << digest.sequence;
  }
}

struct Course {
  std::int64_t overshoot = 0;
  bool countsHold = true;
};

Course play(SharedWorld& world, double seconds, bool check = true) {
  Course course;
  double nextTrouble = 5'000;
  for (const double until = world.now + seconds * 1000; world.now < until;) {
    world.step();
    if (world.now < nextTrouble)
      continue;
    nextTrouble = world.now + world.draw(500, 4'000);
    trouble(world);
    if (check)
      expectLoansWithinBudgets(world);
  }
  heal(world);
  world.traffic = false;
  // All answers end, all words are said, all that are gone are folded.
  world.run(5'000 + 2 * world.options.config.goneMs + 10'000);
  course.overshoot = world.overshoot();
  const UsageTable known = digestIn(world).total;
  // Never more than was counted, and what is missing is no more than died unsaid with its
  // routers.
  course.countsHold = isMonotonic(world.counted, known);
  UsageTable with = known;
  addUsage(with, world.diedWith);
  course.countsHold = course.countsHold && isMonotonic(with, world.counted);
  return course;
}

class ManyNodes : public ::testing::TestWithParam<std::pair<std::size_t, unsigned>> {};

TEST_P(ManyNodes, KeepBudgetsAndCountsWhateverIsCutStoppedOrKilled) {
  const auto [count, seed] = GetParam();
  if (kSlow && count >= 100)
    GTEST_SKIP() << "large fleets: in the release build only";
  SharedWorld::Options options{.nodes = count, .seed = seed, .load = 2};
  if (count >= 100)
    options.config.digestMs = 1'000;
  SharedWorld world(options);
  const Course course = play(world, kSlow ? 20 : count > 100 ? 30 : count == 100 ? 60 : 200);
  EXPECT_LE(course.overshoot, 0) << "seed " << seed;
  EXPECT_TRUE(course.countsHold) << "seed " << seed;
  std::uint64_t known = 0, truly = 0, refused = 0;
  const Digest last = digestIn(world);
  for (const auto& [key, counters] : last.total)
    known += counters.billed();
  for (const auto& [key, counters] : world.counted)
    truly += counters.billed();
  for (const auto& [why, times] : world.denied)
    refused += times;
  std::cout << count << " nodes, seed " << seed << ": nearest to the budget " << -course.overshoot
            << " tokens below, billed " << known << " of " << truly << ", " << world.kills
            << " kills, " << world.asked << " asked, " << refused << " refused, " << world.digests
            << " digests, largest digest " << world.store.documents.at(kDigestKey).value.size()
            << " bytes\n";
  EXPECT_GT(world.granted, 100u);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ManyNodes,
                         ::testing::Values(std::pair(std::size_t(3), 1U),
                                           std::pair(std::size_t(12), 2U),
                                           std::pair(std::size_t(12), 3U),
                                           std::pair(std::size_t(100), 4U),
                                           std::pair(std::size_t(300), 5U)));

// Nobody cut off: nearly all of each budget can be used, and all that is counted arrives.
TEST(ANetworkWithoutTrouble, UsesNearlyTheWholeBudgetAndBillsExactly) {
  for (const std::size_t count : {2, 12, 100}) {
    if (kSlow && count > 2)
      continue;
    SharedWorld world({.nodes = count, .seed = 7, .load = 2});
    world.run(190'000);
    heal(world);
    world.traffic = false;
    world.run(10'000);
    EXPECT_LE(world.overshoot(), 0);
    EXPECT_EQ(digestIn(world).total, world.counted);
    double least = 1;
    for (const auto& [key, one] : world.truth) {
      const double used = static_cast<double>(one.promised) /
                          static_cast<double>(world.options.config.budgets.at(key.first));
      if (key.second != 0 && static_cast<double>(key.second) < world.unix() - 70'000)
        least = std::min(least, used);
    }
    std::cout << count << " nodes: at least " << least << " of each budget used\n";
    EXPECT_GT(least, 0.6) << count;
  }
}

// ---- Guards taken away, and ways that are not taken
// ----------------------------------------------------

using Change = std::function<void(SharedWorld::Options&)>;
using Play = std::function<void(SharedWorld&)>;

// The most over a budget in some plays, under traffic that asks for six times as much.
std::int64_t worstOf(const Change& change, const Play& play, std::size_t nodes = 12) {
  std::int64_t worst = INT64_MIN;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    SharedWorld::Options options{.nodes = nodes, .seed = seed, .load = 6};
    change(options);
    SharedWorld world(options);
    play(world);
    worst = std::max(worst, world.overshoot());
  }
  return worst;
}

// A third cannot write for a while, spends what it may, and dies.
void cutAndKilled(SharedWorld& world) {
  for (int round = 0; round < 20; ++round) {
    const std::size_t from = world.random() % world.nodes.size();
    const auto third = [&](const auto& what) {
      for (std::size_t k = 0; k < world.nodes.size() / 3; ++k)
        what((from + k) % world.nodes.size());
    };
    third([&](std::size_t i) { world.nodes[i].writes = false; });
    world.run(4'000);
    third([&](std::size_t i) { world.kill(i, 100); });
    third([&](std::size_t i) { world.nodes[i].writes = true; });
    world.hold(world.random() % world.nodes.size());
    world.run(2'000);
  }
}

// Clients move from some routers to others and back.
void moving(SharedWorld& world) {
  for (int round = 0; round < 24; ++round) {
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
      world.nodes[i].asked = (i + static_cast<std::size_t>(round)) % 3 != 0;
    world.run(7'000);
  }
}

// The store is put back to what it was while all live and write, and another makes the digest.
void putBack(SharedWorld& world) {
  for (int round = 0; round < 5; ++round) {
    world.run(world.draw(5'000, 15'000));
    const auto copy = world.store;
    world.run(world.draw(2'000, 9'000));
    world.store = copy;
    world.hold(world.random() % world.nodes.size());
  }
  world.run(40'000);
}

TEST(GuardsOfBudgets, HoldAndEachIsMissed) {
  if (kSlow)
    GTEST_SKIP() << "many plays: in the release build only";
  const auto found = [](const char* what, const Play& play, const Change& without) {
    EXPECT_LE(worstOf([](auto&) {}, play), 0) << "with " << what;
    const std::int64_t worst = worstOf(without, play);
    std::cout << "without " << what << ": " << worst << " tokens over a budget\n";
    EXPECT_GT(worst, 0) << what;
  };
  found("a ceiling before spending", cutAndKilled,
        [](auto& o) { o.config.budget.enforceCeiling = false; });
  found("charging the ceiling of those that are gone", cutAndKilled,
        [](auto& o) { o.config.guards.chargeCeiling = false; });
  found("keeping to what was returned", moving,
        [](auto& o) { o.config.budget.excludeReturned = false; });
  found("waiting after a store was put back", putBack,
        [](auto& o) { o.config.guards.waitBeforeLending = false; });
}

// Each router by its own count; all by one counter to which each adds when it can. Both break
// what lending keeps, already when a third is cut off for seconds.
TEST(WaysNotTaken, GoOverTheBudget) {
  if (kSlow)
    GTEST_SKIP() << "many plays: in the release build only";
  const auto over = [](SharedWorld::Way way) {
    return worstOf([way](auto& o) { o.way = way; }, cutAndKilled);
  };
  const std::int64_t alone = over(SharedWorld::Way::kEachAlone),
                     counter = over(SharedWorld::Way::kOneCounter);
  std::cout << "12 nodes, tokens over a budget: each by its own count " << alone
            << ", one counter for all " << counter << "\n";
  EXPECT_GT(alone, 0);
  EXPECT_GT(counter, 0);
}

// ---- Judgements
// ----------------------------------------------------------------------------------------

SharedWorld::Options withInstances(std::size_t nodes, unsigned seed) {
  return {.nodes = nodes, .seed = seed, .load = 0.2};
}

void addInstances(SharedWorld& world, std::size_t perRole, std::uint32_t cells) {
  for (std::size_t k = 0; k < perRole; ++k) {
    world.instances["r" + std::to_string(k)] = {"read", static_cast<std::uint32_t>(k) % cells,
                                                true};
    world.instances["w" + std::to_string(k)] = {"write", static_cast<std::uint32_t>(k) % cells,
                                                true};
  }
}

std::size_t leftOutBy(const SharedWorld& world, const std::string& instance) {
  std::size_t count = 0;
  for (const auto& node : world.nodes)
    if (node.shared)
      count += node.shared->availabilities(world.instances, world.now).at(instance) ==
               Availability::kExcluded;
  return count;
}

TEST(Judgements, AreKnownToAllAndEndByTrialsOfOneAtATime) {
  SharedWorld world(withInstances(kSlow ? 30 : 100, 3));
  addInstances(world, 12, 3);
  world.run(15'000);
  world.badInstances = {"r4"};
  world.badTries = 0;
  world.run(10'000);
  EXPECT_GE(leftOutBy(world, "r4"), world.nodes.size() - 5)
      << "but for who tries it, and who heard late";
  EXPECT_EQ(leftOutBy(world, "r5"), 0u);
  const std::uint64_t found = world.badTries;
  world.badTries = 0;
  world.run(60'000);
  std::cout << world.nodes.size() << " nodes: " << found << " tries until all knew, "
            << world.badTries << " in the minute after\n";
  EXPECT_TRUE(digestIn(world).instances.at("r4").excluded) << "no trial went well";
  // Each router by itself would have tried some 24 times in that minute.
  EXPECT_LT(world.badTries * 5, world.nodes.size() * 24);
  world.badInstances.clear();
  world.run(30'000);
  EXPECT_EQ(leftOutBy(world, "r4"), 0u) << "a trial went well";
}

// One router whose own link is down finds every instance dead; then a third of them does.
TEST(Judgements, AreNotMadeByThoseWhoseOwnLinkIsDown) {
  for (const bool believeAny : {false, true}) {
    SharedWorld::Options options = withInstances(12, 4);
    options.believeAny = believeAny;
    options.config.guards.credibleOnly = !believeAny;
    SharedWorld world(options);
    addInstances(world, 6, 2);
    world.run(15'000);
    world.fewestIn = SIZE_MAX;
    world.nodes[3].badLink = true;
    world.run(20'000);
    const std::size_t one = world.fewestIn;
    for (std::size_t i = 4; i < 7; ++i)
      world.nodes[i].badLink = true;
    world.run(30'000);
    std::cout << (believeAny ? "any judgement believed: " : "as the program: ") << one
              << " of 6 left of a role with one bad link, " << world.fewestIn
              << " with four of 12\n";
    if (believeAny)
      EXPECT_EQ(one, 0u) << "one conductor empties the pool";
    else
      EXPECT_EQ(world.fewestIn, 6u);
  }
}

// Whatever is bad: no more than the bound is left out, of a role and of a role in a cell.
TEST(Judgements, NeverLeaveOutMoreThanTheBound) {
  SharedWorld world(withInstances(30, 5));
  addInstances(world, 9, 3);
  world.run(5'000);
  std::size_t out = 0;
  for (int round = 0; round < 12; ++round) {
    world.badInstances.clear();
    for (const auto& [id, instance] : world.instances)
      if (world.chance(0.4))
        world.badInstances.insert(id);
    world.instances["r0"].serves = round % 2 == 0;  // an operator has one out besides
    trouble(world);
    world.run(8'000);
    for (const auto& node : world.nodes) {
      if (!node.shared)
        continue;
      std::map<std::string, std::size_t> role, cell;
      for (const auto& [id, availability] :
           node.shared->availabilities(world.instances, world.now)) {
        const KnownInstance& instance = world.instances.at(id);
        const bool left = availability == Availability::kExcluded ||
                          availability == Availability::kLocallyHealthy ||
                          availability == Availability::kProbing;
        EXPECT_EQ(availability == Availability::kOperator, !instance.serves);
        if (!left)
          continue;
        ++out;
        ++role[instance.role];
        ++cell[instance.role + std::to_string(instance.cell)];
      }
      for (const auto& [name, count] : role)
        EXPECT_LE(count + (name == "read" && !world.instances["r0"].serves), 3u);
      for (const auto& [name, count] : cell)
        EXPECT_LE(count, 1u) << name;
    }
  }
  EXPECT_GT(out, 0u) << "something was left out at all";
}

// ---- Single routers
// ---------------------------------------------------------------------------------

// A router that was stopped for minutes spends nothing of a loan that has lapsed, and what it
// had is charged and told of once.
TEST(AStoppedConductor, SpendsNothingOfALapsedLoanAndComesBackUnderAnotherIncarnation) {
  SharedWorld world({.nodes = 3, .seed = 9, .load = 2});
  world.run(20'000);
  SharedNode& node = *world.nodes[1].shared;
  const std::uint64_t before = node.self().incarnation;
  ASSERT_EQ(node.reserve("attiki", 100, world.now).denial, Denial::kNone);
  world.nodes[1].stoppedUntil = world.now + 30'000;
  world.run(29'500);
  EXPECT_EQ(node.reserve("attiki", 100, world.now).denial, Denial::kLoanExpired);
  world.run(15'000);
  EXPECT_NE(node.self().incarnation, before);
  EXPECT_EQ(node.stats().evicted, 1u);
  EXPECT_EQ(digestIn(world).foldedOf({"n1", before}), nullptr)
      << "what it really used was taken in";
  world.traffic = false;
  world.run(15'000);
  EXPECT_EQ(digestIn(world).total, world.counted);
  EXPECT_LE(world.overshoot(), 0);
}

// An older and a newer budget in one fleet: nothing more is lent under a limit that lies below what
// was spent.
TEST(ABudget, ThatIsLoweredBelowWhatIsSpentLendsNothingMore) {
  SharedWorld world({.nodes = 3, .seed = 10, .load = 1});
  world.run(40'000);
  world.options.config.budgets["attiki"] = 10;
  world.run(5'000);
  const BudgetLine line = digestIn(world).budgets.at("attiki");
  EXPECT_EQ(line.available, 0u);
  const auto lent = line.lent;
  world.run(5'000);
  const Digest later = digestIn(world);
  for (const auto& [origin, tokens] : later.budgets.at("attiki").lent)
    EXPECT_LE(tokens, lent.count(origin) != 0 ? lent.at(origin) : 0u);
}

}  // namespace
}  // namespace inference_router
