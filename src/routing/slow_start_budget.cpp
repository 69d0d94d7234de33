#include "routing/slow_start_budget.h"

#include <algorithm>
#include <cmath>

#include "routing/duration_math.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// Upper bound of the share of the budget that is used where dispatches are counted.
constexpr double kMaxCountedShare = 0.7;
// The same where dispatches are drawn: more is left for chance and for bursts.
constexpr double kMaxDrawnShare = 0.34;
// Upper bound of the dispatches that are saved up, in overload windows.
constexpr double kMaxBucketWindows = 0.25;
// Number of slots in an overload window; a process may win one draw in each.
constexpr int kSlotsPerWindow = 8;
// Lower bound of the warm fraction: loads are divided by it.
constexpr double kMinWarmFraction = 1e-9;

}  // namespace

double warmFraction(const Contract& contract, std::optional<Time> started, Time now) {
  const double age = started ? ratio(now - *started, contract.warmupDuration) : 1;
  return age >= 1 ? 1 : std::max({contract.warmupInitialShare, age, kMinWarmFraction});
}

// Slots of different processes begin at different times.
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
  // A dispatch counts in each window that holds it, and the first of these began when the instance
  // could bear less.
  const double factor =
      contract.overloadFactor * warmFraction(contract, started, now - contract.overloadWindow);
  const double ownPerWindow = factor * kMaxCountedShare * offer.warmDispatchesPerWindow;
  const bool isCounted = ownPerWindow >= 1;
  // Processes that draw have one counted dispatch a window among them all.
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
