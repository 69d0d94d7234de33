#include "routing/slow_start_budget.h"

#include <algorithm>
#include <cmath>

#include "routing/duration_math.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

constexpr double kCountedSafety = 0.7;  // share of the budget that is used where sends are counted,
constexpr double kDrawnSafety =
    0.34;  // and where they are drawn: the rest is for chance and for a surge
constexpr double kBucketWindows = 0.25;  // of sends that may be saved up
constexpr int kSlotsPerWindow = 8;
constexpr double kLeastFraction = 1e-9;  // a load is divided by it

}  // namespace

double warmFraction(const Contract& contract, std::optional<Time> started, Time now) {
  const double age = started ? ratio(now - *started, contract.warmupDuration) : 1;
  return age >= 1 ? 1 : std::max({contract.warmupInitialShare, age, kLeastFraction});
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
  // A send counts in each window that holds it, and the first of these began when the instance bore
  // less.
  const double factor =
      contract.overloadFactor * warmFraction(contract, started, now - contract.overloadWindow);
  const double own = factor * kCountedSafety * offer.usualPerWindow;
  const bool counts = own >= 1;
  const double perWindow =
      counts ? own : 1.0 / settings.nodes;  // those that draw have one among them all
  tokens_ = std::min(std::max(1.0, perWindow * kBucketWindows),
                     tokens_ + perWindow * ratio(now - refilledAt_, contract.overloadWindow));
  refilledAt_ = now;
  if (counts || tokens_ >= 1)
    return tokens_ >= 1;
  const std::int64_t slot = slotOf(contract, now);
  const double any = std::min(1.0, factor * kDrawnSafety * offer.share);
  const double probability = 1 - std::pow(1 - any, offer.part);
  const auto times = static_cast<double>(1 + slot - slotOf(contract, offer.since));
  return slot != usedSlot_ && stableDraw(seed_, slot) < std::pow(probability, times);
}

void SlowStartBudget::countSend(const Contract& contract, Time now) {
  tokens_ = std::max(0.0, tokens_ - 1);
  usedSlot_ = slotOf(contract, now);
}

}  // namespace inference_router::routing
