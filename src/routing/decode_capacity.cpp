#include "routing/decode_capacity.h"

#include <algorithm>

#include "routing/constants.h"
#include "routing/duration_math.h"
#include "routing/latency_objective.h"

namespace inference_router::routing {
namespace {

// Expected length of an answer, as a share of its maximum length.
constexpr double kExpectedOutputShare = 0.25;
// Weight of the prior assumption that the fleet's streams are spread by instance weight, as a
// number of own streams.
constexpr double kPriorStreams = 3;
// How long an instance is considered full after it rejected a reservation, as a share of the
// shortest latency objective.
constexpr double kRejectionObjectiveShare = 0.15;

double expectedMemory(const Arrival& arrival) {
  return arrival.promptTokens + kExpectedOutputShare * arrival.maxTokens;
}

}  // namespace

void DecodeCapacity::reserve(RequestRecord& request, Instance& instance) {
  if (request.reservedOn == &instance)
    return;
  free(request);
  request.reservedOn = &instance;
  request.reservedTokens = expectedMemory(request.arrival);
  instance.streams += 1;
  instance.reservedTokens += request.reservedTokens;
  streams_ += 1;
  reservedTokens_ += request.reservedTokens;
}

void DecodeCapacity::free(RequestRecord& request) {
  if (request.reservedOn == nullptr)
    return;
  request.reservedOn->streams -= 1;
  request.reservedOn->reservedTokens -= request.reservedTokens;
  streams_ -= 1;
  reservedTokens_ -= request.reservedTokens;
  request.reservedOn = nullptr;
}

void DecodeCapacity::recordRejection(Instance& instance, Time now) const {
  instance.fullUntil = now + scaled(shortestObjective(settings_), kRejectionObjectiveShare);
}

double DecodeCapacity::load(const Instance& instance, Time now) const {
  return instance.streams /
         (std::max(instance.endpoint.weight, kMinDivisor) * warmFraction(settings_, instance, now));
}

// Estimated share of the fleet's reserved tokens that is at the instance: a mean of this node's own
// distribution and a distribution by instance weight. The more streams this node has, the more its
// own distribution counts.
double DecodeCapacity::fleetShare(const Instance& instance) const {
  const double decodeWeight =
      cells_.listedWeight(Role::kDecode) + cells_.listedWeight(Role::kMixed);
  const double evenShare = instance.endpoint.weight / std::max(decodeWeight, kMinDivisor);
  if (reservedTokens_ <= 0)
    return evenShare;
  return (streams_ * instance.reservedTokens / reservedTokens_ + kPriorStreams * evenShare) /
         (streams_ + kPriorStreams);
}

double DecodeCapacity::expectedTokens(const Instance& instance) const {
  return instance.reservedTokens + (settings_.nodes - 1) * reservedTokens_ * fleetShare(instance);
}

bool DecodeCapacity::isFull(const Instance& instance, Time now, double memoryShare) const {
  return now < instance.fullUntil ||
         expectedTokens(instance) > memoryTokens(settings_, instance) * memoryShare;
}

bool DecodeCapacity::allFull(Time now) const {
  bool anyUsable = false;
  for (const auto& [id, instance] : registry_.instances()) {
    if (instance.role == Role::kPrefill || !availability_.isUsable(instance, now))
      continue;
    anyUsable = true;
    if (!isFull(instance, now))
      return false;
  }
  return anyUsable;
}

}  // namespace inference_router::routing
