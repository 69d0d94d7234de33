#include "routing/served_rate.h"

#include <algorithm>
#include <cmath>

#include "routing/constants.h"
#include "routing/duration_math.h"

namespace inference_router::routing {

ServedRate::Observation ServedRate::observedAt(const Observation& observation, Time now) {
  Observation current = observation;
  const double kept = std::exp(-ratio(now - observation.since, kTrafficTimeConstant));
  const double added = observation.weight > 0 ? inSeconds(kTrafficTimeConstant) * (1 - kept) : 0;
  current.weightSeconds = observation.weightSeconds * kept + observation.weight * added;
  current.seconds = observation.seconds * kept + added;
  current.since = now;
  return current;
}

void ServedRate::setWarmWeight(Role role, double weight, Time now) {
  Observation& observation = observations_[roleIndex(role)];
  observation = observedAt(observation, now);
  observation.weight = weight;
}

// Without the request that is being recorded: at its time, it is no evidence of the rate.
void ServedRate::recordServed(Role role, Duration minObserved, Time now) {
  Observation& observation = observations_[roleIndex(role)];
  observation = observedAt(observation, now);
  if (observation.weightSeconds > 0) {
    observation.meanWeight = observation.weightSeconds / observation.seconds;
    observation.perWeight =
        observation.served.at(now, kTrafficTimeConstant) /
        std::max(observation.weightSeconds, observation.meanWeight * inSeconds(minObserved));
  }
  observation.served.add(1, now, kTrafficTimeConstant);
}

std::optional<double> ServedRate::ofWeight(Role role, double weight) const {
  const Observation& observation = observations_[roleIndex(role)];
  if (!observation.perWeight)
    return std::nullopt;
  return *observation.perWeight * std::min(weight, observation.meanWeight);
}

}  // namespace inference_router::routing
