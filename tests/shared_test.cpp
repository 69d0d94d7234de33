// The parts of shared state: merging, lending, observations and connectivity as properties, the
// encoding of documents, and the digest's task on single views.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "support/shared_world.h"

namespace inference_router {
namespace {

// ---- Properties
// ----------------------------------------------------------------------------------------

UsageTable drawnUsage() {
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

TEST(Merging, IsTheSameInAnyOrderRepeatedOrLate) {
  EXPECT_TRUE(rc::check([] {
    // Words of three processes, each growing; delivered in a drawn order, some of them twice, some
    // never but the last of each at least once.
    std::vector<std::pair<Origin, UsageTable>> words;
    UsageTable sum;
    for (std::uint64_t node = 0; node < 3; ++node) {
      UsageTable now;
      const int count = *rc::gen::inRange(1, 5);
      for (int i = 0; i < count; ++i) {
        addUsage(now, drawnUsage());
        words.emplace_back(Origin{"n", node}, now);
        if (i + 1 < count && *rc::gen::inRange(0, 3) == 0)
          words.pop_back();
      }
      addUsage(sum, now);
    }
    const std::size_t kept = words.size();
    for (std::size_t i = 0; i < kept; ++i)
      if (*rc::gen::inRange(0, 2) == 0)
        words.push_back(words[i]);
    FleetUsage counts, other;
    std::mt19937 order(*rc::gen::arbitrary<unsigned>());
    std::shuffle(words.begin(), words.end(), order);
    for (const auto& [origin, usage] : words)
      counts.merge(origin, usage);
    std::shuffle(words.begin(), words.end(), order);
    for (const auto& [origin, usage] : words)
      other.merge(origin, usage);
    RC_ASSERT(counts.total() == sum);
    RC_ASSERT(other.total() == sum);
    // Folded, in any order, once and once more, the sum stays.
    for (const std::uint64_t node : {1, 0, 1})
      counts.fold({"n", node});
    RC_ASSERT(counts.total() == sum);
  }));
}

// Adding up what comes, as a merge without memory would, counts what comes twice twice: the
// property above is one that can fail.
TEST(Merging, WithoutMemoryIsFoundOut) {
  UsageTable part, naive;
  part[{"t", "c"}].served = 2;
  FleetUsage counts;
  for (int i = 0; i < 2; ++i) {
    counts.merge({"n", 1}, part);
    addUsage(naive, part);
  }
  EXPECT_EQ(counts.total(), part);
  EXPECT_NE(naive, part);
}

TEST(Lending, NeverExceedsTheBudgetAndWhatIsOutAndLeftAddUp) {
  EXPECT_TRUE(rc::check([] {
    BudgetLine line;
    line.limit = *rc::gen::inRange<std::uint64_t>(0, 10'000);
    std::map<Origin, Spend> words;
    const auto nodes = *rc::gen::inRange<std::uint64_t>(1, 6);
    for (int round = 0; round < 12; ++round) {
      const Origin who{"n", *rc::gen::inRange<std::uint64_t>(0, nodes)};
      Spend& word = words[who];
      const auto lent = line.lent.find(who);
      const std::uint64_t has = lent == line.lent.end() ? 0 : lent->second;
      switch (*rc::gen::inRange(0, 5)) {
        case 0:  // it wants more
          word.requestedLoan = *rc::gen::inRange<std::uint64_t>(0, 12'000);
          break;
        case 1:  // it hears, and sets its ceiling within
          word.lentSeen = has;
          word.ceiling =
              *rc::gen::inRange<std::uint64_t>(word.spent + word.reserved, has - word.returned + 1);
          break;
        case 2:  // it spends below it
          word.spent = *rc::gen::inRange<std::uint64_t>(word.spent, word.ceiling + 1);
          break;
        case 3:  // it gives back what is not in use
          if (word.lentSeen > 0) {
            word.ceiling = word.spent;
            word.returned = word.lentSeen - word.spent;
          }
          break;
        default: {  // it is taken for gone, and what it had is told of later
          const std::uint64_t before = line.charged;
          charge(line, who, word);
          const std::uint64_t charged = line.charged - before;
          RC_ASSERT(charged >= word.spent);
          if (*rc::gen::inRange(0, 2) == 0)
            refund(line, charged, word.spent);
          words.erase(who);
        }
      }
      const std::uint64_t left = availableOf(line, words);
      RC_ASSERT(line.charged + outstandingOf(line, words) + left == line.limit);
      lend(line, words);
      RC_ASSERT(line.charged + outstandingOf(line, words) <= line.limit);
      std::uint64_t spent = line.charged;
      for (const auto& [origin, spend] : words)
        spent += spend.spent;
      RC_ASSERT(spent <= line.limit);
    }
  }));
}

TEST(Fading, OnlyEverTakesAway) {
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
    const auto said = observations.snapshot(now);
    const HealthObservation at = said.empty() ? HealthObservation{} : said.at("b");
    double before = at.failures, beforeGood = at.successes;
    for (double by = 0; by < 60'000; by += *rc::gen::inRange(1, 9000)) {
      const HealthObservation later = decayed(at, by, config);
      RC_ASSERT(later.failures <= before);
      RC_ASSERT(later.successes <= beforeGood);
      RC_ASSERT(std::abs(later.failures -
                         (observations.snapshot(now + by).empty()
                              ? later.failures
                              : observations.snapshot(now + by).at("b").failures)) < 1e-9);
      before = later.failures;
      beforeGood = later.successes;
    }
  }));
}

TEST(TheBoundOfHearsay, HoldsForAnySizeAndShare) {
  EXPECT_TRUE(rc::check([] {
    const auto instances = *rc::gen::inRange<std::size_t>(0, 200);
    const double share = *rc::gen::inRange(0, 101) / 100.0;
    const std::size_t most = maxExcluded(instances, share);
    RC_ASSERT(static_cast<double>(most) <= static_cast<double>(instances) * share + 1e-6);
    RC_ASSERT(instances == 0 || most < instances);
  }));
}

// ---- Degrees of hearing
// --------------------------------------------------------------------------------

TEST(HearingOfTheOthers, IsLostAndFoundBothWaysWithAMargin) {
  Connectivity connectivity({3'000, 10'000, 0}, 1, 0);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kRejoining);
  std::uint64_t word = 0;
  double now = 0;
  const auto live = [&](double until, bool reads, bool writes) {
    for (; now < until; now += 500) {
      if (writes)
        connectivity.onReportAccepted(++word, now);
      if (reads)
        connectivity.onDigest(writes ? word : 0, now);
      connectivity.tick(now);
    }
  };
  live(2'000, true, true);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kConnected);
  live(5'500, true, false);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kDelayed)
      << "it reads, and its own word is not taken";
  live(13'000, true, false);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kIsolated);
  connectivity.onReportAccepted(++word, now);
  connectivity.onDigest(word - 1, now);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kRejoining)
      << "its new word is in no digest yet";
  connectivity.onReportAccepted(++word, now += 100);
  connectivity.onDigest(word, now);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kConnected);
  live(now + 3'500, false, true);
  EXPECT_EQ(connectivity.state(), ConnectivityState::kDelayed);
}

TEST(HearingOfTheOthers, IsLostAtMomentsThatAreSpread) {
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

// ---- What lies in the store
// ----------------------------------------------------------------------------

Part somePart() {
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

TEST(WordsInTheStore, ComeBackAsTheyWereAndDamageIsNeverBelieved) {
  const std::string text = encode(somePart());
  const auto back = decodePart(text).part;
  ASSERT_TRUE(back);
  EXPECT_EQ(encode(*back), text);
  EXPECT_EQ(back->spends.at("attiki"), (Spend{10, 20, 50, 100, 5, 70}));
  EXPECT_EQ(back->finalUsage, somePart().finalUsage);
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
  Part huge = somePart();
  huge.spends["attiki"].spent = kMaxTokens + 1;
  EXPECT_EQ(decodePart(encode(huge)).error, DecodeError::kBeyondBounds);
  Part nameless = somePart();
  nameless.origin.name = "";
  EXPECT_EQ(decodePart(encode(nameless)).error, DecodeError::kBeyondBounds);
  Part negative = somePart();
  negative.observations["b"].failures = -1;
  EXPECT_EQ(decodePart(encode(negative)).error, DecodeError::kBeyondBounds);
}

TEST(WordsInTheStore, KeepFieldsOfALaterProgram) {
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
  const auto back = decodeDigest(encode(digest)).digest;
  ASSERT_TRUE(back);
  EXPECT_EQ(back->unknown, digest.unknown);
  EXPECT_EQ(back->budgets, digest.budgets);
  EXPECT_EQ(back->folded, digest.folded);
  EXPECT_EQ(back->instances, digest.instances);
  EXPECT_EQ(back->liveNodes, digest.liveNodes);
}

// What stands under others' names, damaged, of another version, or counting backwards: not
// believed, counted once, and the others go on.
TEST(AHolder, BelievesNothingThatIsForeignDamagedOrCountsBackwards) {
  SharedConfig config = SharedWorld::worldConfig();
  DigestTask task(
      {"digest", 500, 300}, [&] { return config; }, [] { return 1.7e12; });
  coordination::View view;
  const auto put = [&](const std::string& key, const std::string& value) {
    view.documents[key] = {value, ++view.revision};
  };
  Part good = somePart();
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
  EXPECT_EQ(digest.total.at({"attiki", "chat"}).promptTokens, 4u) << "the higher count stays";
  EXPECT_EQ(task.stats().decreasedCounters, 1u);
  // A digest of a later program is not written over.
  std::string text = view.documents.at(kDigestKey).value;
  text.replace(text.find("/1 "), 3, "/2 ");
  put(kDigestKey, text);
  EXPECT_FALSE(task.next(view, 2, 1500));
}

// One clock that is off changes no period among three; and a period never goes back.
TEST(AHolder, TurnsThePeriodByTheClockInTheMiddle) {
  SharedConfig config = SharedWorld::worldConfig();
  double unix = 1'000'000;
  DigestTask task(
      {"digest", 500, 300}, [&] { return config; }, [&] { return unix; });
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
  unix = 9'000'000;  // the holder's own clock is set wrong
  EXPECT_EQ(next(1000), 960'000u);
  view.documents.erase("part/c1/1");
  view.documents.erase("part/c2/2");
  EXPECT_EQ(next(2000), 9'000'000u) << "alone, it has no other";
  unix = 1'000'000;
  EXPECT_EQ(next(3000), 9'000'000u) << "a period never goes back";
}

}  // namespace
}  // namespace inference_router
