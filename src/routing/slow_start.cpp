#include "routing/slow_start.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

#include "routing/constants.h"
#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Weight of unlisted instances that a recently started node assumes for a role if all of its listed
// instances are in slow start: the rest of the fleet may have failed along with them.
constexpr double kUnlistedWeight = 8;
// Interval at which ends of slow starts are looked for.
constexpr Duration kReportInterval = std::chrono::milliseconds{500};

}  // namespace

const char* nameOf(SlowStartDenial denial) {
  switch (denial) {
    case SlowStartDenial::kBudgetUsed:
      return "budget_used";
    case SlowStartDenial::kCount:
      break;
  }
  return "";
}

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
  if (instance.slowStart.admits(settings_, instance.endpoint.started, offer, now))
    return true;
  constexpr auto kReason = static_cast<std::size_t>(SlowStartDenial::kBudgetUsed);
  ++instance.slowStartRecord.denied[kReason];
  ++totals_.denied[kReason];
  return false;
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
  if (warmFraction(settings_, instance, now) >= 1)
    return;
  ++instance.slowStartRecord.sent;
  ++totals_.sent;
}

void SlowStart::report(EventContext& context) {
  if (context.now() < reportAt_)
    return;
  reportAt_ = context.now() + kReportInterval;
  for (auto& [id, instance] : registry_.instances()) {
    const bool inSlowStart =
        instance.isListed() && warmFraction(settings_, instance, context.now()) < 1;
    if (inSlowStart == instance.slowStartRecord.reported)
      continue;
    instance.slowStartRecord.reported = inSlowStart;
    if (inSlowStart)
      logBegin(instance, context);
    else
      logEnd(instance, context);
  }
}

void SlowStart::logBegin(Instance& instance, EventContext& context) const {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      context.now() - *instance.endpoint.started);
  context.log("slow start of " + instance.endpoint.instance.value + ": started " +
              std::to_string(age.count()) +
              " ms ago, known by: " + nameOf(instance.slowStartRecord.news));
}

void SlowStart::logEnd(Instance& instance, EventContext& context) {
  const SlowStartRecord& record = instance.slowStartRecord;
  std::string text = "slow start of " + instance.endpoint.instance.value + " over: sent " +
                     std::to_string(record.sent);
  for (std::size_t i = 0; i < record.denied.size(); ++i)
    text += std::string(", denied as ") + nameOf(static_cast<SlowStartDenial>(i)) + " " +
            std::to_string(record.denied[i]);
  context.log(text);
}

}  // namespace inference_router::routing
