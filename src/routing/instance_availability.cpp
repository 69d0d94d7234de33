#include "routing/instance_availability.h"

#include <algorithm>

#include "routing/duration_math.h"
#include "routing/latency_objective.h"

namespace inference_router::routing {
namespace {

// An instance is silent if it has not responded for at least this many mean response times.
constexpr double kMinSilentResponseTimes = 5;
// Minimum time without a response for silence, as a share of the shortest latency objective.
constexpr double kMinSilentObjectiveShare = 0.5;

}  // namespace

bool InstanceAvailability::isSilent(const Instance& instance, Time now) const {
  if (instance.unansweredAttempts == 0)
    return false;
  const auto ownWork = static_cast<double>(estimates_.prefillTime(instance.prefillTokens).count());
  const double expected = std::max(estimates_.meanResponseMicroseconds(instance.role), ownWork) *
                          kMinSilentResponseTimes;
  const Duration limit = std::max(microseconds(expected),
                                  scaled(shortestObjective(settings_), kMinSilentObjectiveShare));
  return now - instance.silentSince > limit;
}

bool InstanceAvailability::isUsable(const Instance& instance, Time now) const {
  if (!instance.isListed() || isSilent(instance, now))
    return false;
  if (!instance.ejection.ejected)
    return true;
  return now >= instance.ejection.nextTrialAt &&
         instance.unansweredAttempts == 0;  // one trial at a time
}

bool InstanceAvailability::isEligible(const RequestRecord& request,
                                      const Instance& instance,
                                      Time now) const {
  return isUsable(instance, now) &&
         request.excludedInstances.count(instance.endpoint.instance) == 0 &&
         request.arrival.promptTokens <= memoryTokens(settings_, instance);
}

bool InstanceAvailability::hasAlternative(const RequestRecord& request,
                                          const Instance& instance,
                                          Time now) const {
  const bool prefills = instance.role == Role::kPrefill;
  for (const auto& [id, other] : registry_.instances()) {
    const bool sameStep = (other.role == Role::kPrefill) == prefills;
    if (&other != &instance && sameStep && isEligible(request, other, now))
      return true;
  }
  return false;
}

void InstanceAvailability::recordDispatch(Instance& instance, Time now) {
  if (instance.unansweredAttempts == 0)
    instance.silentSince = now;
  ++instance.unansweredAttempts;
}

void InstanceAvailability::recordActivity(Instance& instance, Time now) {
  instance.silentSince = now;
  instance.unansweredAttempts = std::max(0, instance.unansweredAttempts - 1);
}

}  // namespace inference_router::routing
