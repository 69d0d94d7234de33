// Days on drawn settings: whatever roles, sizes, effects and limits a deployment has, the
// invariants hold, and no less is served than by a random policy, which sends to any instance that
// is active and retries nothing.
#include "support/simulated_day.h"

namespace inference_router::routing {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kDays = 16;  // of 0.2 s each
#else
constexpr int kDays = 100;
#endif

double maxByChance(std::size_t clientRequests) {  // two standard deviations of a share of so many
  return 1 / std::sqrt(static_cast<double>(clientRequests));
}

TEST(AnySettings, KeepTheInvariantsAndServeNoLessThanARandomPolicy) {
  double gain = 0;
  int compared = 0;
  for (std::uint64_t seed = 1; seed <= kDays && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const DrawnDay day(seed);
    const auto module = [&](int n) {
      const auto router =
          std::make_shared<Router>(day.settings, seed * 10 + static_cast<std::uint64_t>(n));
      return [router](Time now, const Event& event, std::vector<Action>& actions) {
        router->handle(now, event, actions);
      };
    };
    const auto randomPolicy = [&](int n) {
      return RandomPolicy(day.settings, seed * 10 + static_cast<std::uint64_t>(n));
    };
    const SimulatedDay routed(day, module, true), plain(day, randomPolicy, false);
    EXPECT_LE(routed.maxSlowStartExcess(), 0) << "instances in slow start are overloaded";
    if (plain.maxSlowStartExcess() > 0)
      continue;  // it serves more, and breaks a rule for it
    ++compared;
    gain += routed.served() - plain.served();
    EXPECT_GE(routed.served(), plain.served() - maxByChance(day.clientRequests.size()))
        << day.clientRequests.size() << " requests";
  }
  EXPECT_GT(compared, kDays * 0.8);
  EXPECT_GT(gain / compared, 0.05);
}

}  // namespace
}  // namespace inference_router::routing
