#include "routing/load_shedder.h"

#include <algorithm>
#include <chrono>

#include "routing/constants.h"
#include "routing/duration_math.h"
#include "routing/latency_objective.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// Time constant over which prefill outcomes are used to detect congestion; longer than any prefill
// waits in a queue.
constexpr Duration kCongestionTimeConstant = std::chrono::seconds{6};
// Prefills per prefill instance within the time constant that a node needs to know the queueing
// delay of each.
constexpr double kMinPrefillsPerInstance = 3;
// Prefills that are allowed, as a multiple of those that ended in time.
constexpr double kMaxPrefillsPerTimely = 1.3;
// Minimum number of prefills that are allowed within the time constant.
constexpr double kMinAllowedPrefills = 1;

}  // namespace

bool LoadShedder::missesLatencyObjective(const RequestRecord& request,
                                         const Instance& instance,
                                         Time now) const {
  const Duration timeToDecode = instance.role == Role::kPrefill
                                    ? estimates_.recentResponseTime(Role::kDecode, now)
                                    : Duration::zero();
  const double priorityWeight = classOf(settings_, request).priorityWeight;
  const Duration othersObjective =
      request.arrival.resumed ? Duration::max() : shortestObjective(settings_, priorityWeight);
  const Duration timeLeft = std::min(request.objectiveAt - now, othersObjective);
  const Duration timeToPrefill =
      scaled(estimates_.timeToPrefill(request, instance, now), estimates_.lastPrefillDecay(now));
  return timeToPrefill + timeToDecode > timeLeft;
}

bool LoadShedder::cannotMeetObjective(const RequestRecord& request, Time now) const {
  return now + estimates_.recentResponseTime(Role::kPrefill, now) > request.objectiveAt;
}

bool LoadShedder::cannotMeetDeadline(const RequestRecord& request, Time now) const {
  Duration timeNeeded = estimates_.recentResponseTime(Role::kDecode, now);
  if (request.phase != Phase::kPrefilled)
    timeNeeded += estimates_.recentResponseTime(Role::kPrefill, now);
  const Duration timeToNextCheck = kQueueInterval + 2 * settings_.tick;
  return request.deadline - now < std::max(timeNeeded, timeToNextCheck);
}

bool LoadShedder::exceedsMemory(const RequestRecord& request) const {
  bool canPrefill = false;
  bool canDecode = false;
  for (const KindSettings& kind : settings_.kinds) {
    if (request.arrival.promptTokens > kind.memoryTokens)
      continue;
    if (kind.role != Role::kDecode || settings_.decodeCanPrefill)
      canPrefill = true;
    if (kind.role != Role::kPrefill)
      canDecode = true;
  }
  return !canPrefill || !canDecode;
}

bool LoadShedder::isThrottled(const RequestRecord& request, Time now) const {
  const double recentPrefills = prefillOutcomes_.at(now, kCongestionTimeConstant);
  const double needed = kMinPrefillsPerInstance * cells_.listedCount(Role::kPrefill);
  if (recentPrefills >= needed)
    return false;
  const double allowed = kMaxPrefillsPerTimely * timelyPrefills_.at(now, kCongestionTimeConstant) +
                         std::max(kMinAllowedPrefills, needed / settings_.nodes);
  return stableDraw(request.arrival.request.value, "throttle") * recentPrefills > allowed;
}

void LoadShedder::recordPrefillOutcome(bool isInformative, bool inTime, Time now) {
  prefillOutcomes_.add(isInformative ? 1 : 0, now, kCongestionTimeConstant);
  timelyPrefills_.add(isInformative && inTime ? 1 : 0, now, kCongestionTimeConstant);
}

}  // namespace inference_router::routing
