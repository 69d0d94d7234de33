// Days on drawn settings: whatever roles, sizes, effects and limits a deployment has, the five
// rules hold, and no less is served than by the plainest policy, which sends to any instance that
// fits and tries nothing again.
#include "support/day_play.h"

namespace inference_router::routing {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kDays = 16;  // of 0.2 s each
#else
constexpr int kDays = 100;
#endif

double mostByChance(std::size_t asks) {  // two standard deviations of a share of so many
  return 1 / std::sqrt(static_cast<double>(asks));
}

TEST(AnySettings, KeepTheRulesAndServeNoLessThanThePlainestPolicy) {
  double gained = 0;
  int compared = 0;
  for (std::uint64_t seed = 1; seed <= kDays && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const DrawnDay day(seed);
    const auto module = [&](int n) {
      const auto router =
          std::make_shared<Router>(day.set, seed * 10 + static_cast<std::uint64_t>(n));
      return [router](Time now, const Event& event, std::vector<Action>& actions) {
        router->handle(now, event, actions);
      };
    };
    const auto plainest = [&](int n) {
      return Plainest(day.set, seed * 10 + static_cast<std::uint64_t>(n));
    };
    const Play ours(day, module, true), plain(day, plainest, false);
    EXPECT_LE(ours.mostOver(), 0) << "rule four";
    if (plain.mostOver() > 0)
      continue;  // it serves more, and breaks a rule for it
    ++compared;
    gained += ours.served() - plain.served();
    EXPECT_GE(ours.served(), plain.served() - mostByChance(day.asks.size()))
        << day.asks.size() << " requests";
  }
  EXPECT_GT(compared, kDays * 0.8);
  EXPECT_GT(gained / compared, 0.05);
}

}  // namespace
}  // namespace inference_router::routing
