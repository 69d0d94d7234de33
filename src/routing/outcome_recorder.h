// What is learnt from the answers of instances: estimates, failures, overtaken attempts.
#pragma once

#include "inference_router/events.h"
#include "inference_router/types.h"
#include "routing/event_context.h"
#include "routing/load_shedder.h"
#include "routing/outlier_detector.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"

namespace inference_router::routing {

/// Passes the facts of an answer on to the units that learn from them. Decides nothing about the
/// request.
class OutcomeRecorder {
 public:
  /// All must outlive the recorder.
  OutcomeRecorder(ServiceEstimates& estimates,
                  LoadShedder& shedder,
                  const OutlierDetector& outlierDetector)
      : estimates_(estimates), shedder_(shedder), outlierDetector_(outlierDetector) {}

  /// The attempt has brought its first token, `took` after it was sent. `requests` holds it.
  void recordFirstToken(AttemptRecord& attempt,
                        Duration took,
                        RequestMap& requests,
                        EventContext& context);

  /// An attempt of the request that was out has ended. `requests` holds it.
  void recordEnd(const RequestRecord& request,
                 AttemptRecord& attempt,
                 const AttemptEnded& ended,
                 RequestMap& requests,
                 EventContext& context);

  /// The attempt has failed for that reason.
  void recordFailure(const AttemptRecord& attempt,
                     FailureReason reason,
                     EventContext& context) const;

 private:
  void recordActivity(const AttemptRecord& attempt, Duration took, bool countsAsResponse, Time now);
  void recordSuccess(const AttemptRecord& attempt, EventContext& context) const;
  void recordPrefillOutcome(const RequestRecord& request,
                            const AttemptRecord& attempt,
                            const AttemptEnded& ended,
                            Time now);

  ServiceEstimates& estimates_;
  LoadShedder& shedder_;
  const OutlierDetector& outlierDetector_;
};

}  // namespace inference_router::routing
