#include "routing/prefill_selector.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "routing/duration_math.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// Maximum queueing delay at a preferred instance, as a multiple of the time to prefill the whole
// prompt.
constexpr double kMaxQueueingPrefills = 1.5;
// Maximum share of an instance's traffic that one affinity key may have.
constexpr double kMaxKeyShare = 0.5;
// Share of the time to the objective that a prefill may take at an instance in slow start that is
// not the first in preference order.
constexpr double kMaxSlowStartObjectiveShare = 0.5;

}  // namespace

// Returns the first instance in preference order whose queueing delay is within the bound. If all
// exceed it, returns the one that is expected to end the prefill first; a tie goes to the one
// earlier in the order. Under congestion a key should not move without need: prefilling again what
// another instance has cached adds to the congestion.
Instance* PrefillSelector::choose(RequestRecord& request, Time now) {
  const ServiceEstimates& estimates = inputs_.estimates;
  const Duration maxDelay =
      scaled(estimates.prefillTime(request.arrival.promptTokens), kMaxQueueingPrefills);
  const std::vector<Instance*> order = preferenceOrder(request, now);
  if (!order.empty())
    request.affinityInstance = order.front();
  if (Instance* starting = inSlowStart(request, order, maxDelay, now))
    return starting;
  Instance* best = nullptr;
  for (Instance* instance : order) {
    if (!mayPrefill(request, *instance, now))
      continue;
    if (!inputs_.slowStart.admits(*instance, now))
      continue;
    if (best != nullptr && estimates.timeToPrefill(request, *instance, now) >=
                               estimates.timeToPrefill(request, *best, now))
      continue;
    best = instance;
    if (estimates.queueingDelay(*instance, now) <= maxDelay)
      return instance;
  }
  return best;
}

// Returns the first instance in slow start to which this node may send a request now: what it does
// not send there lapses, and few of its requests have such an instance first in their order.
Instance* PrefillSelector::inSlowStart(const RequestRecord& request,
                                       const std::vector<Instance*>& order,
                                       Duration maxDelay,
                                       Time now) const {
  const Duration maxTime = scaled(request.objectiveAt - now, kMaxSlowStartObjectiveShare);
  for (Instance* instance : order) {
    if (!inputs_.slowStart.isLimited(*instance, now) || !mayPrefill(request, *instance, now))
      continue;
    const bool inTime = inputs_.estimates.queueingDelay(*instance, now) <= maxDelay &&
                        inputs_.estimates.timeToPrefill(request, *instance, now) <= maxTime;
    if (inTime && inputs_.slowStart.admits(*instance, now))
      return instance;
  }
  return nullptr;
}

bool PrefillSelector::mayPrefill(const RequestRecord& request,
                                 const Instance& instance,
                                 Time now) const {
  if (!inputs_.availability.isEligible(request, instance, now) || now < instance.fullUntil)
    return false;
  return instance.role != Role::kMixed || !inputs_.capacity.isFull(instance, now);
}

// Returns the instances in preference order of the affinity key. A key that is popular at this node
// is spread over as many instances as its traffic needs. The session determines the order among
// these, the same at every node, so that its requests find their cached prefix.
std::vector<Instance*> PrefillSelector::preferenceOrder(const RequestRecord& request,
                                                        Time now) const {
  const CellPlan& cells = inputs_.cells;
  std::vector<Instance*> order;
  double totalWeight = 0;
  for (auto& [id, instance] : inputs_.registry.instances()) {
    if (instance.role == Role::kDecode || !instance.isListed())
      continue;
    order.push_back(&instance);
    totalWeight += cells.hashWeight(instance);
  }
  const std::string& key = affinityKey(request);
  rankByRendezvousHash(order, order.size(), key);
  if (request.arrival.session.empty())
    return order;
  const double keyShare = inputs_.popularity.shareExcludingLatest(key, now);
  double coveredWeight = 0;
  std::size_t spread = 0;
  while (spread < order.size() && coveredWeight * kMaxKeyShare < keyShare * totalWeight) {
    coveredWeight += cells.hashWeight(*order[spread]);
    ++spread;
  }
  rankByRendezvousHash(order, spread, request.arrival.session);
  return order;
}

// Sorts the first `count` instances by weighted rendezvous hashing of the key. All nodes compute
// the same order.
void PrefillSelector::rankByRendezvousHash(std::vector<Instance*>& instances,
                                           std::size_t count,
                                           const std::string& key) const {
  std::multimap<double, Instance*> scored;
  for (std::size_t i = 0; i < count; ++i) {
    Instance* instance = instances[i];
    const double draw = stableDraw(key, instance->endpoint.instance.value);
    scored.emplace(-std::log(draw) / inputs_.cells.hashWeight(*instance), instance);
  }
  std::transform(scored.begin(), scored.end(), instances.begin(),
                 [](const auto& entry) { return entry.second; });
}

}  // namespace inference_router::routing
