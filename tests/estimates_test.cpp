// Tests of the averages, sums and hashes that the decision module uses.
#include <gtest/gtest.h>

#include <set>

#include "routing/decaying_sum.h"
#include "routing/duration_math.h"
#include "routing/fading_average.h"
#include "routing/key_popularity.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

using std::chrono::seconds;

Time at(double second) {
  return Time(Duration(static_cast<Duration::rep>(second * 1e6)));
}

TEST(DurationMath, RatioIsFiniteForAnEmptyDenominator) {
  EXPECT_DOUBLE_EQ(ratio(seconds(3), seconds(2)), 1.5);
  EXPECT_DOUBLE_EQ(ratio(Duration(7), Duration(0)), 7);
  EXPECT_DOUBLE_EQ(ratio(Duration(7), Duration(-5)), 7);
}

TEST(DurationMath, ScaledRoundsToTheNearestMicrosecond) {
  EXPECT_EQ(scaled(Duration(3), 0.5), Duration(2));
  EXPECT_EQ(scaled(Duration(1'000), 1.0004), Duration(1'000));
  EXPECT_EQ(scaled(seconds(2), 0), Duration(0));
}

TEST(DurationMath, DecayHalvesWithEachHalfLife) {
  EXPECT_DOUBLE_EQ(decay(at(5), at(5), seconds(2)), 1);
  EXPECT_DOUBLE_EQ(decay(at(7), at(5), seconds(2)), 0.5);
  EXPECT_DOUBLE_EQ(decay(at(9), at(5), seconds(2)), 0.25);
}

TEST(FadingAverage, IsZeroWithoutSamplesAndTheSampleAfterOne) {
  FadingAverage average;
  EXPECT_DOUBLE_EQ(average.mean(), 0);
  average.add(4);
  EXPECT_DOUBLE_EQ(average.mean(), 4);
}

TEST(FadingAverage, FollowsNewSamplesAndForgetsOldOnes) {
  FadingAverage average;
  for (int i = 0; i < 20; ++i)
    average.add(1);
  for (int i = 0; i < 7; ++i)
    average.add(0);
  EXPECT_LT(average.mean(), 0.35);
  EXPECT_GT(average.mean(), 0.25);
}

TEST(FadingAverage, DecaysFromTheLastSample) {
  FadingAverage average;
  average.add(8, at(10));
  EXPECT_DOUBLE_EQ(average.decayedMean(at(10), seconds(1)), 8);
  EXPECT_DOUBLE_EQ(average.decayedMean(at(13), seconds(1)), 1);
  EXPECT_DOUBLE_EQ(average.mean(), 8);
}

TEST(DecayingSum, IsRateTimesTimeConstantInTheSteadyState) {
  DecayingSum sum;
  double now = 0;
  for (int i = 0; i < 10'000; ++i)
    sum.add(1, at(now += 0.01), seconds(5));
  EXPECT_NEAR(sum.at(at(now), seconds(5)), 100 * 5, 1);
  EXPECT_NEAR(sum.at(at(now + 5), seconds(5)), 100 * 5 * std::exp(-1), 1);
}

TEST(KeyPopularity, ExcludesTheLatestArrivalAndAssumesTenOthers) {
  KeyPopularity popularity(seconds(20));
  EXPECT_DOUBLE_EQ(popularity.shareExcludingLatest("a", at(1)), 0);
  popularity.count("a", at(1));
  EXPECT_DOUBLE_EQ(popularity.shareExcludingLatest("a", at(1)), 0);
  popularity.count("a", at(1));
  EXPECT_DOUBLE_EQ(popularity.shareExcludingLatest("a", at(1)), 1.0 / 12);
  EXPECT_DOUBLE_EQ(popularity.shareExcludingLatest("b", at(1)), 0);
}

TEST(KeyPopularity, FindsThePopularKeyOfManyRareOnes) {
  KeyPopularity popularity(seconds(20));
  for (int i = 0; i < 4'000; ++i)
    popularity.count(i % 4 == 0 ? "popular" : "rare" + std::to_string(i), at(i * 0.01));
  EXPECT_NEAR(popularity.shareExcludingLatest("popular", at(40)), 0.25, 0.01);
  EXPECT_DOUBLE_EQ(popularity.shareExcludingLatest("rare3999", at(40)), 0);
}

// The hash values must never change: nodes of different releases must rank instances equally.
TEST(StableHash, ValuesAreStable) {
  EXPECT_EQ(stableHash("", ""), 689861552466052133ULL);
  EXPECT_EQ(stableHash("prefix", "s-5be2a07c"), 2220736449789088585ULL);
}

TEST(StableHash, DiffersForPairsWithTheSameConcatenation) {
  EXPECT_NE(stableHash("ab", "c"), stableHash("a", "bc"));
  EXPECT_NE(stableHash("a", "b"), stableHash("b", "a"));
}

// Checks that draws of consecutive indices are distinct and have the mean of a uniform
// distribution.
template <typename Draw>
void expectUniform(const Draw& draw) {
  constexpr int kDraws = 20'000;
  double sum = 0;
  std::set<double> distinct;
  for (int i = 0; i < kDraws; ++i) {
    const double drawn = draw(i);
    ASSERT_LT(drawn, 1);
    sum += drawn;
    distinct.insert(drawn);
  }
  EXPECT_NEAR(sum / kDraws, 0.5, 0.01);
  EXPECT_EQ(distinct.size(), static_cast<std::size_t>(kDraws));
}

TEST(StableDraw, IsUniformBetweenZeroAndOne) {
  expectUniform([](int i) {
    const double drawn = stableDraw("key", std::to_string(i));
    EXPECT_GT(drawn, 0);
    return drawn;
  });
}

TEST(StableDraw, OfNumbersIsUniform) {
  expectUniform([](int i) {
    const double drawn = stableDraw(std::uint64_t{12345}, std::int64_t{i});
    EXPECT_GE(drawn, 0);
    return drawn;
  });
}

}  // namespace
}  // namespace inference_router::routing
