#include "routing/decode_prefill_selector.h"

#include <algorithm>
#include <utility>

#include "routing/constants.h"
#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Maximum share of memory in use at a decode instance that is selected for a prefill.
constexpr double kMaxMemoryShare = 0.45;
// Ratio of the prefill time at a decode instance to that at a prefill instance.
constexpr int kSlowdown = 2;
// Share of the time to the objective that a prefill instance may take before a decode instance is
// considered instead.
constexpr double kMaxObjectiveShare = 0.6;
// Share of their time that the decode instances together may spend on prefills.
constexpr double kSpareTimeShare = 0.15;
// For few nodes, the share is this constant divided by the number of nodes, if that is larger.
constexpr double kSpareTimeShareNodes = 3;

}  // namespace

bool DecodePrefillSelector::isPreferable(const RequestRecord& request,
                                         const Instance* prefillInstance,
                                         Time now) const {
  return prefillInstance == nullptr ||
         inputs_.estimates.timeToPrefill(request, *prefillInstance, now) >
             scaled(request.objectiveAt - now, kMaxObjectiveShare);
}

Instance* DecodePrefillSelector::choose(const RequestRecord& request, Time now) const {
  if (!inputs_.settings.decodeCanPrefill || !hasSpareTime(now))
    return nullptr;
  Instance* best = leastPrefilling(request, now);
  if (best == nullptr)
    return nullptr;
  const double tokens = best->prefillTokens + request.arrival.promptTokens;
  const Duration prefillTime = scaled(inputs_.estimates.prefillTime(tokens), kSlowdown);
  return now + prefillTime > request.objectiveAt ? nullptr : best;
}

Instance* DecodePrefillSelector::leastPrefilling(const RequestRecord& request, Time now) const {
  Instance* best = nullptr;
  for (auto& [id, instance] : inputs_.registry.instances()) {
    if (instance.role != Role::kDecode || instance.ejection.ejected ||
        inputs_.slowStart.isLimited(instance, now))
      continue;
    if (inputs_.capacity.isFull(instance, now, kMaxMemoryShare) ||
        !inputs_.availability.isEligible(request, instance, now))
      continue;
    const auto cost = [&](const Instance& candidate) {
      return std::pair(candidate.prefillTokens, inputs_.capacity.load(candidate, now));
    };
    if (best == nullptr || cost(instance) < cost(*best))
      best = &instance;
  }
  return best;
}

// A node knows only its own load on the decode instances, so it assumes that every node sends them
// as many prefills as it does.
bool DecodePrefillSelector::hasSpareTime(Time now) const {
  const int nodes = inputs_.settings.nodes;
  const double ownTokens = prefillTokens_.at(now, kTrafficTimeConstant);
  const Duration spent = kSlowdown * inputs_.estimates.prefillTime(ownTokens) * nodes;
  const double instancesSpared = std::max(kSpareTimeShare, kSpareTimeShareNodes / nodes) *
                                 inputs_.cells.listedCount(Role::kDecode);
  return spent <= scaled(kTrafficTimeConstant, instancesSpared);
}

void DecodePrefillSelector::countDispatch(const RequestRecord& request, Time now) {
  prefillTokens_.add(request.arrival.promptTokens, now, kTrafficTimeConstant);
}

}  // namespace inference_router::routing
