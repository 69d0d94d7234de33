// Records outcomes of attempts: service estimates, failures and overtaken attempts.
#pragma once

#include "inference_router/events.h"
#include "inference_router/types.h"
#include "routing/event_context.h"
#include "routing/load_shedder.h"
#include "routing/outlier_detector.h"
#include "routing/request_record.h"
#include "routing/service_estimates.h"

namespace inference_router::routing {

/// Forwards the outcome of an attempt to the components that collect statistics. Makes no decision
/// about the request.
class OutcomeRecorder {
 public:
  /// All must outlive the recorder.
  OutcomeRecorder(ServiceEstimates& estimates,
                  LoadShedder& shedder,
                  const OutlierDetector& outlierDetector)
      : estimates_(estimates), shedder_(shedder), outlierDetector_(outlierDetector) {}

  /// Records the first token of an attempt, `took` after its dispatch. The attempt's request is in
  /// `requests`.
  void recordFirstToken(AttemptRecord& attempt,
                        Duration took,
                        RequestMap& requests,
                        EventContext& context);

  /// Records the end of an attempt in flight. `request` is in `requests`.
  void recordEnd(const RequestRecord& request,
                 AttemptRecord& attempt,
                 const AttemptEnded& ended,
                 RequestMap& requests,
                 EventContext& context);

  /// Records a failure of the attempt.
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
