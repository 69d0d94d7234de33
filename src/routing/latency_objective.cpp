#include "routing/latency_objective.h"

#include <algorithm>

#include "routing/duration_math.h"

namespace inference_router::routing {

Duration shortestObjective(const Settings& settings, double minPriorityWeight) {
  Duration shortest = Duration::max();
  for (const ClassSettings& cls : settings.classes) {
    if (cls.priorityWeight >= minPriorityWeight)
      shortest = std::min(shortest, cls.latencyObjective);
  }
  return shortest;
}

Time objectiveFor(const Arrival& arrival, const ClassSettings& cls, Time now) {
  if (arrival.resumed)
    return now + arrival.timeLeft;
  return now + cls.latencyObjective +
         scaled(cls.latencyObjectivePer1000, arrival.promptTokens / 1000);
}

}  // namespace inference_router::routing
