// Units of shared state: properties of usage counters, loans, observations and exclusion limits;
// the connectivity state machine; the encoding of documents; and the digest's task on single views.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "support/simulated_fleet.h"

namespace inference_router {
namespace {

// ---- Properties ----

UsageTable drawUsage() {
  UsageTable usage;
  const auto count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    UsageCounters& counters = usage[{"t" + std::to_string(*rc::gen::inRange(0, 3)),
                                     "c" + std::to_string(*rc::gen::inRange(0, 2))}];
    counters = {*rc::gen::inRange<std::uint64_t>(0, 50),
                *rc::gen::inRange<std::uint64_t>(0, 50),
                0,
                *rc::gen::inRange<std::uint64_t>(0, 5000),
                *rc::gen::inRange<std::uint64_t>(0, 500),
                0,
                3};
  }
  return usage;
}

TEST(FleetUsage, TotalIsTheSameForReportsInAnyOrderRepeatedOrLate) {
  EXPECT_TRUE(rc::check([] {
    // Reports of three processes with growing counters, delivered in random order. Some are
    // delivered twice and some never, but the last one of each process at least once.
    std::vector<std::pair<Origin, UsageTable>> reports;
    UsageTable sum;
    for (std::uint64_t node = 0; node < 3; ++node) {
      UsageTable usage;
      const int count = *rc::gen::inRange(1, 5);
      for (int i = 0; i < count; ++i) {
        addUsage(usage, drawUsage());
        reports.emplace_back(Origin{"n", node}, usage);
        if (i + 1 < count && *rc::gen::inRange(0, 3) == 0)
          reports.pop_back();
      }
      addUsage(sum, usage);
    }
    const std::size_t distinct = reports.size();
    for (std::size_t i = 0; i < distinct; ++i)
      if (*rc::gen::inRange(0, 2) == 0)
        reports.push_back(reports[i]);
    FleetUsage first, second;
    std::mt19937 generator(*rc::gen::arbitrary<unsigned>());
    std::shuffle(reports.begin(), reports.end(), generator);
    for (const auto& [origin, usage] : reports)
      first.merge(origin, usage);
    std::shuffle(reports.begin(), reports.end(), generator);
    for (const auto& [origin, usage] : reports)
      second.merge(origin, usage);
    RC_ASSERT(first.total() == sum);
    RC_ASSERT(second.total() == sum);
    // Folding processes in any order, or repeatedly, does not change the total.
    for (const std::uint64_t node : {1, 0, 1})
      first.fold({"n", node});
    RC_ASSERT(first.total() == sum);
  }));
}

// Shows that the property above can fail: adding up all reports counts a repeated report twice.
TEST(FleetUsage, AddingRepeatedReportsIsDetected) {
  UsageTable part, naive;
  part[{"t", "c"}].served = 2;
  FleetUsage merged;
  for (int i = 0; i < 2; ++i) {
    merged.merge({"n", 1}, part);
    addUsage(naive, part);
  }
  EXPECT_EQ(merged.total(), part);
  EXPECT_NE(naive, part);
}

TEST(BudgetLine, NeverExceedsTheLimitAndItsAmountsAddUp) {
  EXPECT_TRUE(rc::check([] {
    BudgetLine line;
    line.limit = *rc::gen::inRange<std::uint64_t>(0, 10'000);
    std::map<Origin, Spend> spends;
    const auto nodes = *rc::gen::inRange<std::uint64_t>(1, 6);
    for (int round = 0; round < 12; ++round) {
      const Origin borrower{"n", *rc::gen::inRange<std::uint64_t>(0, nodes)};
      Spend& spend = spends[borrower];
      const auto lent = line.lent.find(borrower);
      const std::uint64_t lentTokens = lent == line.lent.end() ? 0 : lent->second;
      switch (*rc::gen::inRange(0, 5)) {
        case 0:  // requests more
          spend.requestedLoan = *rc::gen::inRange<std::uint64_t>(0, 12'000);
          break;
        case 1:  // learns of its loan, and sets a ceiling within it
          spend.lentSeen = lentTokens;
          spend.ceiling = *rc::gen::inRange<std::uint64_t>(spend.spent + spend.reserved,
                                                           lentTokens - spend.returned + 1);
          break;
        case 2:  // spends within the ceiling
          spend.spent = *rc::gen::inRange<std::uint64_t>(spend.spent, spend.ceiling + 1);
          break;
        case 3:  // returns unused tokens
          if (spend.lentSeen > 0) {
            spend.ceiling = spend.spent;
            spend.returned = spend.lentSeen - spend.spent;
          }
          break;
        default: {  // is evicted, and may report its usage later
          const std::uint64_t before = line.charged;
          charge(line, borrower, spend);
          const std::uint64_t charged = line.charged - before;
          RC_ASSERT(charged >= spend.spent);
          if (*rc::gen::inRange(0, 2) == 0)
            refund(line, charged, spend.spent);
          spends.erase(borrower);
        }
      }
      const std::uint64_t available = availableOf(line, spends);
      RC_ASSERT(line.charged + outstandingOf(line, spends) + available == line.limit);
      lend(line, spends);
      RC_ASSERT(line.charged + outstandingOf(line, spends) <= line.limit);
      std::uint64_t spent = line.charged;
      for (const auto& [origin, reported] : spends)
        spent += reported.spent;
      RC_ASSERT(spent <= line.limit);
    }
  }));
}

TEST(LocalObservations, DecayNeverIncreasesEvidence) {
  EXPECT_TRUE(rc::check([] {
    const ObservationConfig config;
    LocalObservations observations(config);
    double now = 0;
    for (int i = 0; i < 10; ++i) {
      now += *rc::gen::inRange(0, 3000);
      if (*rc::gen::inRange(0, 2) == 0)
        observations.recordSuccess("b", now);
      else
        observations.recordFailure("b", FailureKind::kError, now);
    }
    const auto snapshot = observations.snapshot(now);
    const HealthObservation initial = snapshot.empty() ? HealthObservation{} : snapshot.at("b");
    double failures = initial.failures, successes = initial.successes;
    for (double byMs = 0; byMs < 60'000; byMs += *rc::gen::inRange(1, 9000)) {
      const HealthObservation later = decayed(initial, byMs, config);
      RC_ASSERT(later.failures <= failures);
      RC_ASSERT(later.successes <= successes);
      RC_ASSERT(std::abs(later.failures -
                         (observations.snapshot(now + byMs).empty()
                              ? later.failures
                              : observations.snapshot(now + byMs).at("b").failures)) < 1e-9);
      failures = later.failures;
      successes = later.successes;
    }
  }));
}

TEST(MaxExcluded, StaysWithinTheShareAndLeavesAnInstance) {
  EXPECT_TRUE(rc::check([] {
    const auto instances = *rc::gen::inRange<std::size_t>(0, 200);
    const double share = *rc::gen::inRange(0, 101) / 100.0;
    const std::size_t excluded = maxExcluded(instances, share);
    RC_ASSERT(static_cast<double>(excluded) <= static_cast<double>(instances) * share + 1e-6);
    RC_ASSERT(instances == 0 || excluded < instances);
  }));
}

// ---- Connectivity ----

TEST(Connectivity, NeedsReadsAndWritesAndChangesWithHysteresis) {
  Connectivity connectivity({3'000, 10'000, 0}, 1, 0);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kRejoining);
  std::uint64_t sequence = 0;
  double now = 0;
  const auto advance = [&](double untilMs, bool reads, bool writes) {
    for (; now < untilMs; now += 500) {
      if (writes)
        connectivity.onReportAccepted(++sequence, now);
      if (reads)
        connectivity.onDigest(writes ? sequence : 0, now);
      connectivity.tick(now);
    }
  };
  advance(2'000, true, true);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kConnected);
  advance(5'500, true, false);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kDelayed)
      << "it reads, but its own reports are not accepted";
  advance(13'000, true, false);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kIsolated);
  connectivity.onReportAccepted(++sequence, now);
  connectivity.onDigest(sequence - 1, now);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kRejoining)
      << "no digest includes its new report yet";
  connectivity.onReportAccepted(++sequence, now += 100);
  connectivity.onDigest(sequence, now);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kConnected);
  advance(now + 3'500, false, true);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kDelayed);
}

TEST(Connectivity, RoutersBecomeIsolatedAtDifferentTimes) {
  std::set<double> moments;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Connectivity connectivity({3'000, 10'000, 0.2}, seed, 0);
    double now = 0;
    while (connectivity.state() != ConnectivityState::kIsolated && now < 20'000)
      connectivity.tick(now += 10);
    EXPECT_GE(now, 10'000);
    EXPECT_LE(now, 12'010);
    moments.insert(std::floor(now / 100));
  }
  EXPECT_GT(moments.size(), 10u);
}

// ---- Documents ----

Part samplePart() {
  Part part;
  part.origin = {"c1", 17};
  part.sequence = 3;
  part.unixMs = 1.7e12;
  part.period = 60'000;
  part.spends["attiki"] = {10, 20, 50, 100, 5, 70};
  part.usage[{"attiki", "chat"}] = {1, 2, 3, 4, 5, 6, 7};
  part.observations["b"] = {1.5, 0.5, 10, 20, FailureKind::kTimeout};
  part.finalUsage = FinalUsage{16, 60'000, {{"attiki", 9}}};
  return part;
}

TEST(PartCodec, RoundTripsAndRejectsDamagedText) {
  const std::string text = encode(samplePart());
  const auto decoded = decodePart(text).part;
  ASSERT_TRUE(decoded);
  EXPECT_EQ(encode(*decoded), text);
  EXPECT_EQ(decoded->spends.at("attiki"), (Spend{10, 20, 50, 100, 5, 70}));
  EXPECT_EQ(decoded->finalUsage, samplePart().finalUsage);
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string damaged = text;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x01);
    EXPECT_FALSE(decodePart(damaged).part) << "byte " << i;
    EXPECT_FALSE(decodePart(text.substr(0, i)).part) << "cut at " << i;
  }
  EXPECT_EQ(decodePart("").error, DecodeError::kForeign);
  EXPECT_EQ(decodePart("{\"form\":\"dahliastall-node-1\"}").error, DecodeError::kForeign);
  EXPECT_EQ(decodePart(std::string(kMaxDocumentBytes + 1, 'x')).error, DecodeError::kTooLarge);
  std::string later = text;
  later.replace(later.find("/1 "), 3, "/2 ");
  EXPECT_EQ(decodePart(later).error, DecodeError::kUnsupportedVersion);
  Part huge = samplePart();
  huge.spends["attiki"].spent = kMaxTokens + 1;
  EXPECT_EQ(decodePart(encode(huge)).error, DecodeError::kBeyondBounds);
  Part nameless = samplePart();
  nameless.origin.name = "";
  EXPECT_EQ(decodePart(encode(nameless)).error, DecodeError::kBeyondBounds);
  Part negative = samplePart();
  negative.observations["b"].failures = -1;
  EXPECT_EQ(decodePart(encode(negative)).error, DecodeError::kBeyondBounds);
}

TEST(DigestCodec, RetainsUnknownFields) {
  Digest digest;
  digest.sequence = 5;
  digest.liveNodes[{"c1", 17}] = 3;
  digest.budgets["attiki"] = {100, 10, 40, {{{"c1", 17}, 50}, {{"c2", 9}, 0}}};
  Folded folded;
  folded.origin = {"c0", 3};
  folded.sequence = 8;
  folded.period = 60'000;
  folded.charged["attiki"] = 10;
  digest.folded.push_back(folded);
  digest.instances["b"] = {3, 1, true, FailureKind::kSlow, 4.5, 2};
  digest.unknown["weather"] = "fair";
  const auto decoded = decodeDigest(encode(digest)).digest;
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->unknown, digest.unknown);
  EXPECT_EQ(decoded->budgets, digest.budgets);
  EXPECT_EQ(decoded->folded, digest.folded);
  EXPECT_EQ(decoded->instances, digest.instances);
  EXPECT_EQ(decoded->liveNodes, digest.liveNodes);
}

// Parts that are foreign, damaged, of another version, or whose counters decrease are not used and
// are counted once. They do not affect other parts.
TEST(DigestTask, RejectsInvalidPartsAndDecreasedCounters) {
  SharedConfig config = SimulatedFleet::fastConfig();
  DigestTask task(
      {"digest", 500, 300}, [&] { return config; }, [] { return 1.7e12; });
  coordination::View view;
  const auto put = [&](const std::string& key, const std::string& value) {
    view.documents[key] = {value, ++view.revision};
  };
  Part good = samplePart();
  good.finalUsage.reset();
  put(good.key(), encode(good));
  put("part/c9/1", encode(good));
  put("part/c8/1", "noise");
  std::string later = encode(good);
  later.replace(later.find("/1 "), 3, "/7 ");
  put("part/c7/1", later);
  const auto next = [&](double now) {
    const auto step = task.next(view, 1, now);
    EXPECT_TRUE(step);
    put(kDigestKey, *step->writes.front().value);
    return *decodeDigest(*step->writes.front().value).digest;
  };
  Digest digest = next(0);
  EXPECT_EQ(digest.liveNodes.size(), 1u);
  EXPECT_EQ(digest.total, good.usage);
  next(500);
  EXPECT_EQ(task.stats().undecodable,
            (std::map<std::string, std::uint64_t>{{"foreign", 2}, {"version", 1}}));
  good.sequence = 4;
  good.usage[{"attiki", "chat"}].promptTokens = 1;
  put(good.key(), encode(good));
  digest = next(1000);
  EXPECT_EQ(digest.total.at({"attiki", "chat"}).promptTokens, 4u) << "the higher value is retained";
  EXPECT_EQ(task.stats().decreasedCounters, 1u);
  // A digest of a later version is not overwritten.
  std::string text = view.documents.at(kDigestKey).value;
  text.replace(text.find("/1 "), 3, "/2 ");
  put(kDigestKey, text);
  EXPECT_FALSE(task.next(view, 2, 1500));
}

// One wrong clock among three does not change the period, and the period never decreases.
TEST(DigestTask, DerivesThePeriodFromTheMedianClock) {
  SharedConfig config = SimulatedFleet::fastConfig();
  double unixMs = 1'000'000;
  DigestTask task(
      {"digest", 500, 300}, [&] { return config; }, [&] { return unixMs; });
  coordination::View view;
  const auto put = [&](const std::string& key, const std::string& value) {
    view.documents[key] = {value, ++view.revision};
  };
  const auto next = [&](double now) {
    put(kDigestKey, *task.next(view, 1, now)->writes.front().value);
    return decodeDigest(view.documents.at(kDigestKey).value).digest->period;
  };
  for (std::uint64_t i = 1; i <= 2; ++i) {
    Part part;
    part.origin = {"c" + std::to_string(i), i};
    part.sequence = 1;
    part.unixMs = 1'000'000;
    put(part.key(), encode(part));
  }
  EXPECT_EQ(next(0), 960'000u);
  unixMs = 9'000'000;  // the lease holder's own clock is wrong
  EXPECT_EQ(next(1000), 960'000u);
  view.documents.erase("part/c1/1");
  view.documents.erase("part/c2/2");
  EXPECT_EQ(next(2000), 9'000'000u) << "without other routers, only its own clock is left";
  unixMs = 1'000'000;
  EXPECT_EQ(next(3000), 9'000'000u) << "the period never decreases";
}

}  // namespace
}  // namespace inference_router
