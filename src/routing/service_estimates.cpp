#include "routing/service_estimates.h"

#include <algorithm>
#include <chrono>

#include "routing/constants.h"
#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Lower bound of the half-life of estimates.
constexpr Duration kMinHalfLife = std::chrono::seconds{1};
// Upper bound of the half-life of estimates: congestion also ends while it is not observed.
constexpr Duration kMaxHalfLife = std::chrono::seconds{3};
// Number of arrivals at this node in one half-life, within the bounds above.
constexpr double kArrivalsPerHalfLife = 4;
// Factor by which the highest observed throughput decays with each slower prefill.
constexpr double kThroughputDecay = 0.98;

}  // namespace

Duration ServiceEstimates::halfLife(Time now) const {
  const double arrivals = std::max(popularity_.arrivals(now), kMinDivisor);
  return std::clamp<Duration>(
      scaled(kTrafficTimeConstant, std::min(1.0, kArrivalsPerHalfLife / arrivals)), kMinHalfLife,
      kMaxHalfLife);
}

// The throughput is that of the fastest recent prefills: slower ones were queued, or ran at a slow
// instance.
Duration ServiceEstimates::prefillTime(double tokens) const {
  return prefillThroughput_ > 0 ? microseconds(tokens / prefillThroughput_) : Duration::zero();
}

double ServiceEstimates::uncachedTokens(const RequestRecord& request,
                                        const Instance& instance) const {
  const bool atAffinityInstance = request.affinityInstance == &instance;
  return request.arrival.promptTokens * (1 - cacheHitRate(atAffinityInstance).mean());
}

Duration ServiceEstimates::queueingDelay(const Instance& instance, Time now) const {
  const Duration ownWork =
      prefillTime(instance.prefillTokens / warmFraction(settings_, instance, now));
  const Duration observed =
      scaled(instance.queueingDelay, decay(now, instance.queueingDelayAt, halfLife(now)));
  return std::max(ownWork, observed);
}

Duration ServiceEstimates::timeToPrefill(const RequestRecord& request,
                                         const Instance& instance,
                                         Time now) const {
  return queueingDelay(instance, now) + prefillTime(uncachedTokens(request, instance));
}

double ServiceEstimates::meanResponseMicroseconds(Role role) const {
  return responseTime_[roleIndex(role)].mean();
}

Duration ServiceEstimates::recentResponseTime(Role role, Time now) const {
  return microseconds(responseTime_[roleIndex(role)].decayedMean(now, halfLife(now)));
}

double ServiceEstimates::lastPrefillDecay(Time now) const {
  return decay(now, lastPrefillAt_, halfLife(now));
}

void ServiceEstimates::recordResponse(Role role, Duration took, Time now) {
  responseTime_[roleIndex(role)].add(static_cast<double>(took.count()), now);
}

void ServiceEstimates::recordQueueingDelay(Instance& instance, Duration delay, Time now) {
  instance.queueingDelay = delay;
  instance.queueingDelayAt = now;
}

void ServiceEstimates::recordPrefill(const RequestRecord& request,
                                     const AttemptRecord& attempt,
                                     const AttemptEnded& ended,
                                     Time now) {
  const double promptTokens = request.arrival.promptTokens;
  cacheHitRate_[attempt.atAffinityInstance ? 1 : 0].add(
      std::clamp(ended.cachedTokens / std::max(1.0, promptTokens), 0.0, 1.0));
  const double prefilledTokens = std::max(1.0, promptTokens - ended.cachedTokens);
  lastPrefillAt_ = now;
  const auto took = static_cast<double>(std::max<Duration::rep>(1, ended.took.count()));
  prefillThroughput_ = std::max(prefillThroughput_ * kThroughputDecay, prefilledTokens / took);
  recordQueueingDelay(*attempt.instance,
                      std::max(Duration::zero(), ended.took - prefillTime(prefilledTokens)), now);
}

}  // namespace inference_router::routing
