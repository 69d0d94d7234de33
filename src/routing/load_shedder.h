// Decides which requests to reject early, based on latency objectives, deadlines and load.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/decaying_sum.h"
#include "routing/instance.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"

namespace inference_router::routing {

/// Sheds load: a late answer is of little value and delays the requests queued behind it. Owns the
/// recent outcomes of prefills.
class LoadShedder {
 public:
  /// All must outlive the object.
  LoadShedder(const Settings& settings, const CellPlan& cells, const ServiceEstimates& estimates)
      : settings_(settings), cells_(cells), estimates_(estimates) {}

  /// Whether a prefill at the instance is expected to end too late for the latency objective of the
  /// request, or for that of requests of the same or a higher priority that would queue behind it.
  bool missesLatencyObjective(const RequestRecord& request,
                              const Instance& instance,
                              Time now) const;

  /// Whether the recent mean time of a prefill alone exceeds the time to the latency objective.
  bool cannotMeetObjective(const RequestRecord& request, Time now) const;

  /// Whether the recent mean time of the remaining steps exceeds the time to the deadline. Also
  /// true when the router would not process the request again before its deadline.
  bool cannotMeetDeadline(const RequestRecord& request, Time now) const;

  /// Whether the prompt fits into the memory of no kind that can prefill or of no kind that can
  /// decode.
  bool exceedsMemory(const RequestRecord& request) const;

  /// Whether the request is throttled because recent prefills were late. With many nodes, each may
  /// send too few prefills to know the queueing delay of every prefill instance, and together they
  /// would sustain a congestion that none of them observes. Such a node sends only slightly more
  /// prefills than ended in time, plus its share of the trials that detect the end of the
  /// congestion.
  bool isThrottled(const RequestRecord& request, Time now) const;

  /// Records the end of an attempt: whether it is informative about prefill congestion, and whether
  /// its prefill ended in time for the latency objective.
  void recordPrefillOutcome(bool isInformative, bool inTime, Time now);

 private:
  const Settings& settings_;
  const CellPlan& cells_;
  const ServiceEstimates& estimates_;
  DecayingSum prefillOutcomes_;  ///< informative outcomes
  DecayingSum timelyPrefills_;   ///< those that were in time
};

}  // namespace inference_router::routing
