// Which requests are rejected early, by their latency objective, deadline and the load.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/cell_plan.h"
#include "routing/decaying_sum.h"
#include "routing/instance.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"

namespace inference_router::routing {

/// Early rejection. A late answer earns little and delays the requests behind it. Owns the recent
/// outcomes of prefills.
class LoadShedder {
 public:
  /// All must outlive the object.
  LoadShedder(const Settings& settings, const CellPlan& cells, const ServiceEstimates& estimates)
      : settings_(settings), cells_(cells), estimates_(estimates) {}

  /// Whether a prefill at the instance is expected to end too late for the latency objective of the
  /// request, or of requests of its priority or more that would queue behind it.
  bool missesLatencyObjective(const RequestRecord& request,
                              const Instance& instance,
                              Time now) const;

  /// Whether the usual time of a prefill alone is too long for the latency objective.
  bool cannotMeetObjective(const RequestRecord& request, Time now) const;

  /// Whether the usual time of the steps left is too long for the deadline. True at the latest when
  /// the router would not look at the request again before its deadline.
  bool cannotMeetDeadline(const RequestRecord& request, Time now) const;

  /// Whether no kind of instance that prefills, or none that decodes, has memory for the prompt.
  bool exceedsMemory(const RequestRecord& request) const;

  /// Whether the request is held back as prefills have been late. Each of many nodes may send too
  /// few prefills to know the queueing delay of every prefill instance, and together they would
  /// keep up congestion that none of them sees. Such a node sends little more than was answered in
  /// time, and its part of the trials that show when the congestion ends.
  bool isThrottled(const RequestRecord& request, Time now) const;

  /// Records how an attempt has ended: whether it tells something of prefill congestion, and
  /// whether its prefill was in time for the latency objective.
  void recordPrefillOutcome(bool isInformative, bool inTime, Time now);

 private:
  const Settings& settings_;
  const CellPlan& cells_;
  const ServiceEstimates& estimates_;
  DecayingSum prefillOutcomes_;  ///< telling outcomes
  DecayingSum timelyPrefills_;   ///< of these, in time
};

}  // namespace inference_router::routing
