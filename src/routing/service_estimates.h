// Estimates of service times: prefill throughput, queueing delay, cache hit rate and response time,
// based on this node's own attempts.
#pragma once

#include <array>

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/fading_average.h"
#include "routing/instance.h"
#include "routing/key_popularity.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Owns the fleet-wide estimates; the queueing delay of an instance is stored in the instance.
class ServiceEstimates {
 public:
  /// Both must outlive the estimates.
  ServiceEstimates(const Settings& settings, const KeyPopularity& popularity)
      : settings_(settings), popularity_(popularity) {}

  /// Time in which an estimate without new observations loses half its weight. Longer if this node
  /// gets few requests.
  Duration halfLife(Time now) const;

  /// Time to prefill that many uncached tokens, without queueing; zero while the prefill throughput
  /// is unknown.
  Duration prefillTime(double tokens) const;

  /// Prompt tokens of the request that the instance is not expected to have cached.
  double uncachedTokens(const RequestRecord& request, const Instance& instance) const;

  /// Expected delay before a new prefill begins at the instance: the time of this node's own
  /// prefills in flight there, or the last observed delay, decayed by its age, whichever is longer.
  Duration queueingDelay(const Instance& instance, Time now) const;

  /// Expected time to the end of the request's prefill at the instance, including queueing.
  Duration timeToPrefill(const RequestRecord& request, const Instance& instance, Time now) const;

  /// Mean time, for a role, to the end of a prefill or to the first token, in microseconds; 0
  /// without observations.
  double meanResponseMicroseconds(Role role) const;

  /// The same mean, decayed by the age of the last observation.
  Duration recentResponseTime(Role role, Time now) const;

  /// Decay factor of the last observed prefill: 1 immediately, 0.5 after one half-life.
  double lastPrefillDecay(Time now) const;

  /// Records a response: the time to the end of a prefill or to the first token.
  void recordResponse(Role role, Duration took, Time now);

  /// Records an observed queueing delay of the instance.
  static void recordQueueingDelay(Instance& instance, Duration delay, Time now);

  /// Updates cache hit rate, prefill throughput and queueing delay from a completed prefill.
  void recordPrefill(const RequestRecord& request,
                     const AttemptRecord& attempt,
                     const AttemptEnded& ended,
                     Time now);

 private:
  const FadingAverage& cacheHitRate(bool atAffinityInstance) const {
    return cacheHitRate_[atAffinityInstance ? 1 : 0];
  }

  const Settings& settings_;
  const KeyPopularity& popularity_;
  std::array<FadingAverage, 2> cacheHitRate_;  ///< [0]: elsewhere, [1]: at the affinity instance
  std::array<FadingAverage, kRoleCount> responseTime_;  ///< by role, microseconds
  double prefillThroughput_ = 0;  ///< uncached tokens per microsecond, without queueing
  Time lastPrefillAt_{};
};

}  // namespace inference_router::routing
