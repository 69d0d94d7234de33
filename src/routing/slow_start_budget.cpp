#include "routing/slow_start_budget.h"

#include <algorithm>
#include <cmath>

#include "routing/duration_math.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// Share of the budget that may be used when dispatches are counted.
constexpr double kMaxCountedShare = 0.7;
// Share of the budget that may be used when dispatches are drawn; smaller, to leave a margin for
// random variation and bursts.
constexpr double kMaxDrawnShare = 0.34;
// Capacity of the token bucket, in overload windows.
constexpr double kMaxBucketWindows = 0.25;
// Number of slots in an overload window; a process sends at most one drawn request per slot.
constexpr int kSlotsPerWindow = 8;
// Lower bound of the warm fraction, which is used as a divisor.
constexpr double kMinWarmFraction = 1e-9;

}  // namespace

double warmFraction(const Contract& contract, std::optional<Time> started, Time now) {
  const double age = started ? ratio(now - *started, contract.warmupDuration) : 1;
  return age >= 1 ? 1 : std::max({contract.warmupInitialShare, age, kMinWarmFraction});
}

// The seed shifts the slots, so that those of different processes begin at different times.
std::int64_t SlowStartBudget::slotOf(const Contract& contract, Time time) const {
  const Duration slot = std::max(Duration(1), contract.overloadWindow / kSlotsPerWindow);
  return (time.time_since_epoch() + Duration(seed_ % static_cast<std::uint64_t>(slot.count()))) /
         slot;
}

void SlowStartBudget::reset(std::uint64_t seed, int processes, Time now) {
  seed_ = seed;
  tokens_ = std::min(1.0, stableDraw(seed_, -1) + 1.0 / processes);
  refilledAt_ = now;
}

bool SlowStartBudget::admits(const Settings& settings,
                             std::optional<Time> started,
                             const SlowStartOffer& offer,
                             Time now) {
  const Contract& contract = settings.contract;
  // A dispatch counts in every window that contains it. The earliest of these began one window ago,
  // when the instance could take less load.
  const double factor =
      contract.overloadFactor * warmFraction(contract, started, now - contract.overloadWindow);
  const double ownPerWindow = factor * kMaxCountedShare * offer.warmDispatchesPerWindow;
  const bool isCounted = ownPerWindow >= 1;
  // All processes that draw share one counted dispatch per window.
  const double perWindow = isCounted ? ownPerWindow : 1.0 / settings.nodes;
  tokens_ = std::min(std::max(1.0, perWindow * kMaxBucketWindows),
                     tokens_ + perWindow * ratio(now - refilledAt_, contract.overloadWindow));
  refilledAt_ = now;
  if (isCounted || tokens_ >= 1)
    return tokens_ >= 1;
  const std::int64_t slot = slotOf(contract, now);
  const double offerProbability = std::min(1.0, factor * kMaxDrawnShare * offer.offeredShare);
  const double probability = 1 - std::pow(1 - offerProbability, offer.instanceShare);
  const auto slotsWaited = static_cast<double>(1 + slot - slotOf(contract, offer.since));
  return slot != lastUsedSlot_ && stableDraw(seed_, slot) < std::pow(probability, slotsWaited);
}

void SlowStartBudget::countDispatch(const Contract& contract, Time now) {
  tokens_ = std::max(0.0, tokens_ - 1);
  lastUsedSlot_ = slotOf(contract, now);
}

}  // namespace inference_router::routing
