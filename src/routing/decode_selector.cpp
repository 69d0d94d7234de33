#include "routing/decode_selector.h"

#include <algorithm>

#include "routing/constants.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// A reservation at a draining instance is used only within the first 1 / kDrainGraceDivisor of the
// drain grace period.
constexpr int kDrainGraceDivisor = 2;

}  // namespace

Instance* DecodeSelector::choose(RequestRecord& request, Time now) {
  const CellIndex cell =
      inputs_.cells.decodeCell(request.arrival.request, request.prefillInstance->endpoint.cell);
  Instance* planned = leastLoaded(request, cell, now);
  if (planned != nullptr && !inputs_.capacity.isFull(*planned, now))
    return planned;
  Instance* anywhere = leastLoaded(request, std::nullopt, now);
  const bool hasCapacity = anywhere != nullptr && !inputs_.capacity.isFull(*anywhere, now);
  return hasCapacity ? anywhere : planned;
}

// Searches the decode instances of the cell or, without a cell, all decode and mixed instances.
Instance* DecodeSelector::leastLoaded(RequestRecord& request,
                                      std::optional<CellIndex> cell,
                                      Time now) {
  Instance* best = nullptr;
  for (auto& [id, instance] : inputs_.registry.instances()) {
    const bool outsideCell =
        cell && (instance.role == Role::kMixed || instance.endpoint.cell != *cell);
    if (instance.role == Role::kPrefill || outsideCell)
      continue;
    if (!inputs_.availability.isEligible(request, instance, now))
      continue;
    if (!inputs_.slowStart.admits(instance, now))
      continue;
    if (best == nullptr || isLessLoaded(instance, *best, now))
      best = &instance;
  }
  return best;
}

// Instances with free capacity come first, then those with less load, then those in slow start, as
// what is not sent to them now lapses; ties are broken by a hash that differs between nodes.
bool DecodeSelector::isLessLoaded(const Instance& instance, const Instance& other, Time now) const {
  const bool isFull = inputs_.capacity.isFull(instance, now);
  const bool otherIsFull = inputs_.capacity.isFull(other, now);
  if (isFull != otherIsFull)
    return otherIsFull;
  const double load = inputs_.capacity.load(instance, now);
  const double otherLoad = inputs_.capacity.load(other, now);
  if (load < otherLoad || otherLoad < load)
    return load < otherLoad;
  const bool isStarting = inputs_.slowStart.isLimited(instance, now);
  if (isStarting != inputs_.slowStart.isLimited(other, now))
    return isStarting;
  return stableHash(seed_, instance.endpoint.instance.value) <
         stableHash(seed_, other.endpoint.instance.value);
}

bool DecodeSelector::reservationUsable(const RequestRecord& request, Time now) const {
  const Instance* instance = request.reservation;
  if (instance == nullptr || request.excludedInstances.count(instance->endpoint.instance) != 0)
    return false;
  if (instance->isListed())
    return inputs_.availability.isUsable(*instance, now) &&
           inputs_.slowStart.admitsReserved(request, now);
  const Duration drainGrace = inputs_.settings.contract.drainGrace;
  return now - *instance->drainingSince < drainGrace / kDrainGraceDivisor &&
         instance->endpoint.state == EndpointState::kDraining;
}

}  // namespace inference_router::routing
