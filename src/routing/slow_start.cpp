#include "routing/slow_start.h"

#include <algorithm>
#include <cmath>

#include "routing/constants.h"
#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Weight of unlisted instances that a recently started node assumes for a role if all of its listed
// instances are in slow start: the rest of the fleet may have failed along with them.
constexpr double kUnlistedWeight = 8;

}  // namespace

RoleWeights SlowStart::weights(Role role, Time now) const {
  RoleWeights weights;
  weights.fullFleet =
      std::max(cells_.maxWarmWeight(role), kMinDivisor) + cells_.maxWarmWeight(Role::kMixed);
  for (const auto& [id, instance] : registry_.instances()) {
    if (!instance.isListed() || (instance.role != role && instance.role != Role::kMixed))
      continue;
    weights.listed += instance.endpoint.weight;
    if (warmFraction(settings_, instance, now) < 1)
      weights.inSlowStart += instance.endpoint.weight;
  }
  weights.fullFleet = std::max(weights.fullFleet, weights.inSlowStart);
  if (!recentlyStarted(now))
    return weights;
  // A recently started node knows only the current list, so it assumes that instances are missing.
  const double unlisted = weights.inSlowStart < weights.listed ? 0 : kUnlistedWeight;
  weights.fullFleet = std::max(weights.fullFleet, cells_.maxListedWeight()) + unlisted;
  return weights;
}

bool SlowStart::admits(RequestRecord& request,
                       Instance& instance,
                       const RoleWeights& weights,
                       const SlowStartCandidates& candidates,
                       Time now) {
  if (warmFraction(settings_, instance, now) >= 1)
    return true;
  const double warmDispatchesPerWindow =
      ownDemand(instance.role, now) *
      ratio(settings_.contract.overloadWindow, kTrafficTimeConstant) * instance.endpoint.weight /
      weights.fullFleet;
  const Time offeredSince =
      request.slowStartOfferedAt.try_emplace(request.phase, now).first->second;
  const SlowStartOffer offer{warmDispatchesPerWindow, candidates.offeredWeight / weights.fullFleet,
                             candidates.instanceShare, offeredSince};
  return instance.slowStart.admits(settings_, instance.endpoint.started, offer, now);
}

// Number of requests of this node for the role in one time constant; extrapolated while the node
// has been running for less.
double SlowStart::ownDemand(Role role, Time now) const {
  const Duration observedFor = std::max(now - startedAt_, settings_.contract.overloadWindow);
  const double recentRequests = recentlyStarted(now)
                                    ? popularity_.arrivals(now)
                                    : dispatches_[roleIndex(role)].at(now, kTrafficTimeConstant);
  return recentRequests / -std::expm1(-ratio(observedFor, kTrafficTimeConstant));
}

void SlowStart::countDispatch(Instance& instance, Time now) {
  instance.slowStart.countDispatch(settings_.contract, now);
  dispatches_[roleIndex(instance.role)].add(1, now, kTrafficTimeConstant);
}

}  // namespace inference_router::routing
