#include "routing/slow_start_budget.h"

#include <algorithm>
#include <cmath>

#include "routing/duration_math.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// Share of what an instance can take that all processes together may send in any window; the rest
// is for random variation.
constexpr double kMaxShare = 0.9;
// Share of what an instance can take that processes with few requests send together on average.
constexpr double kMeanShare = 0.5;
// Share of it that they may send together per window if all of them always had a request.
constexpr double kMaxGrantedShare = 2.5;
// Slots in an overload window. In longer slots more of the budget is used, but less can be granted.
constexpr int kMinSlotsPerWindow = 2;
constexpr int kMaxSlotsPerWindow = 8;
// Slots in a window, times the number of processes, between these bounds.
constexpr int kSlotsOfAllProcesses = 32;
// Time for which an attempt may be in transit, in overload windows.
constexpr double kTransitWindows = 0.25;
// How long the limit takes to be lifted after slow start, in overload windows.
constexpr double kLiftWindows = 2;
// Lower bound of the warm fraction, which is used as a divisor.
constexpr double kMinWarmFraction = 1e-9;

}  // namespace

double warmFraction(const Contract& contract, std::optional<Time> started, Time now) {
  const double age = started ? ratio(now - *started, contract.warmupDuration) : 1;
  return age >= 1 ? 1 : std::max({contract.warmupInitialShare, age, kMinWarmFraction});
}

std::optional<double> loadLimit(const Contract& contract, std::optional<Time> started, Time now) {
  if (!started)
    return std::nullopt;
  const Time lastWindowEnds = *started + contract.warmupDuration + contract.overloadWindow;
  const double lifted = ratio(now - lastWindowEnds, scaled(contract.overloadWindow, kLiftWindows));
  if (lifted >= 1)
    return std::nullopt;
  // How the capacity grows is not disclosed: an instance may have its initial share until it is
  // warm.
  const double limit = std::min(1.0, contract.overloadFactor * contract.warmupInitialShare);
  return limit + std::max(0.0, lifted) * std::max(0.0, contract.overloadFactor - limit);
}

Duration maxTransitTime(const Contract& contract) {
  return scaled(contract.overloadWindow, kTransitWindows);
}

// The seed shifts the slots, so that those of different processes begin at different times.
std::int64_t SlowStartBudget::slotOf(const Contract& contract, Time time) const {
  const Duration slot = std::max(Duration(1), contract.overloadWindow / slotsPerWindow_);
  return (time.time_since_epoch() + Duration(seed_ % static_cast<std::uint64_t>(slot.count()))) /
         slot;
}

void SlowStartBudget::reset(std::uint64_t seed,
                            int processes,
                            bool mayHaveSent,
                            const Contract& contract,
                            Time now) {
  seed_ = seed;
  slotsPerWindow_ = std::clamp(kSlotsOfAllProcesses / std::max(1, processes), kMinSlotsPerWindow,
                               kMaxSlotsPerWindow);
  slot_ = slotOf(contract, now);
  firstSlot_ = slot_ + (mayHaveSent ? 1 : 0);
  sentInSlot_ = 0;
  lastSentAt_.reset();
}

bool SlowStartBudget::isPending(const Contract& contract, Time now) const {
  return slotOf(contract, now) < firstSlot_;
}

void SlowStartBudget::enterSlot(const Contract& contract, Time now) {
  const std::int64_t slot = slotOf(contract, now);
  if (slot == slot_)
    return;
  slot_ = slot;
  sentInSlot_ = 0;
}

bool SlowStartBudget::admits(const Contract& contract, const SlowStartPart& part, Time now) {
  if (isPending(contract, now))
    return false;
  enterSlot(contract, now);
  // A process that may send one request in each window need not wait for a draw.
  const bool sentInWindow = lastSentAt_ && now - *lastSentAt_ < contract.overloadWindow;
  if (part.allowedPerWindow >= 1 && !sentInWindow)
    return true;
  const double slotWindows = 1.0 / slotsPerWindow_;
  const double usedShare =
      std::max(-std::expm1(-part.requestsPerWindow * slotWindows), kMeanShare / kMaxGrantedShare);
  // A window also contains the rest of a slot, and what was in transit.
  const double grantedShare =
      std::max(kMaxShare / (1 + slotWindows + kTransitWindows), kMeanShare / usedShare);
  const double grantedPerSlot = part.allowedPerWindow * grantedShare * slotWindows;
  return sentInSlot_ < std::floor(grantedPerSlot + stableDraw(seed_, slot_));
}

void SlowStartBudget::countDispatch(const Contract& contract, Time now) {
  enterSlot(contract, now);
  ++sentInSlot_;
  lastSentAt_ = now;
}

}  // namespace inference_router::routing
