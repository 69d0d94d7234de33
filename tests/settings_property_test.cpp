// Simulated days with random settings: for any roles, sizes, effects and limits, the invariants
// hold and no less is served than by a random policy, which sends to any active instance and never
// retries.
#include "support/simulated_day.h"

namespace inference_router::routing {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kDays = 16;  // 0.2 s each
#else
constexpr int kDays = 100;
#endif

// Two standard deviations of a share of that many requests.
double chanceTolerance(std::size_t clientRequests) {
  return 1 / std::sqrt(static_cast<double>(clientRequests));
}

TEST(AnySettings, KeepInvariantsAndServeNoLessThanARandomPolicy) {
  double gain = 0;
  int compared = 0;
  for (std::uint64_t seed = 1; seed <= kDays && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const DrawnDay day(seed);
    const auto routerPolicy = [&](int n) {
      const auto router =
          std::make_shared<Router>(day.settings, seed * 10 + static_cast<std::uint64_t>(n));
      return [router](Time now, const Event& event, std::vector<Action>& actions) {
        router->handle(now, event, actions);
      };
    };
    const auto randomPolicy = [&](int n) {
      return RandomPolicy(day.settings, seed * 10 + static_cast<std::uint64_t>(n));
    };
    const SimulatedDay routed(day, routerPolicy, true), baseline(day, randomPolicy, false);
    EXPECT_LE(routed.maxSlowStartExcess(), 0) << "instances in slow start are overloaded";
    if (baseline.maxSlowStartExcess() > 0)
      continue;  // not comparable: it serves more by overloading instances
    ++compared;
    gain += routed.served() - baseline.served();
    EXPECT_GE(routed.served(), baseline.served() - chanceTolerance(day.clientRequests.size()))
        << day.clientRequests.size() << " requests";
  }
  EXPECT_GT(compared, kDays * 0.8);
  EXPECT_GT(gain / compared, 0.05);
}

}  // namespace
}  // namespace inference_router::routing
