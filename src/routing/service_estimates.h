// Estimates of how long instances take: prefill throughput, queueing delay, cache hit rate and
// response time, learnt from this node's own attempts.
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

/// Owns what is learnt of the whole fleet; the queueing delay of an instance is kept with it.
class ServiceEstimates {
 public:
  /// Both must outlive the estimates.
  ServiceEstimates(const Settings& settings, const KeyPopularity& popularity)
      : settings_(settings), popularity_(popularity) {}

  /// Time in which an estimate that no observation refreshes loses half its weight. Longer where
  /// this node sees few arrivals.
  Duration halfLife(Time now) const;

  /// Time to prefill uncached tokens at the prefill throughput, without queueing; zero while the
  /// throughput is unknown.
  Duration prefillTime(double tokens) const;

  /// Prompt tokens of the request that the instance is not expected to have cached.
  double uncachedTokens(const RequestRecord& request, const Instance& instance) const;

  /// Expected wait before a new prefill begins there: by own work that is out, or as last observed,
  /// faded with the age of the observation; whichever is longer.
  Duration queueingDelay(const Instance& instance, Time now) const;

  /// Expected time to the end of the request's prefill there, queueing included.
  Duration timeToPrefill(const RequestRecord& request, const Instance& instance, Time now) const;

  /// Mean time of a role to the end of a prefill or to the first token, in microseconds; 0 if none
  /// was observed.
  double meanResponseMicroseconds(Role role) const;

  /// The same mean, faded with the age of the last observation.
  Duration recentResponseTime(Role role, Time now) const;

  /// Weight of the last prefill that was observed: 1 at once, 0.5 after a half-life.
  double lastPrefillDecay(Time now) const;

  /// Records the time to the end of a prefill or to the first token.
  void recordResponse(Role role, Duration took, Time now);

  /// Records a queueing delay that was observed at the instance.
  static void recordQueueingDelay(Instance& instance, Duration delay, Time now);

  /// Learns cache hit rate, prefill throughput and queueing delay from a prefill that has ended.
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
  std::array<FadingAverage, 2> cacheHitRate_;           ///< elsewhere; at the affinity instance
  std::array<FadingAverage, kRoleCount> responseTime_;  ///< by role, microseconds
  double prefillThroughput_ = 0;  ///< uncached tokens a microsecond where nothing queues
  Time lastPrefillAt_{};
};

}  // namespace inference_router::routing
