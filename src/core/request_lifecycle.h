/// The only component that begins and ends requests and ends attempts. Maintains two invariants
/// whatever the decision module, clients and instances do: a request gets one final answer, and
/// each DispatchAttempt gets one AttemptEnded.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "core/decision_loop.h"
#include "core/dispatch_context.h"
#include "inference_router/router.h"

namespace inference_router::core {

class RequestLifecycle {
 public:
  RequestLifecycle(DispatchContext& context, DecisionLoop& loop) : context_(context), loop_(loop) {}

  /// Has to be called before any other function, and again when the settings change.
  void configure(const routing::Settings& settings) { classes_ = settings.classes; }

  /// Adds a request that has to be answered. The table must not contain a request with its id.
  RequestKey beginRequest(const routing::Arrival& arrival,
                          std::shared_ptr<const Payload> payload,
                          std::shared_ptr<ResponseWriter> responseWriter);
  /// Ends the request for its client. The caller gets the only reference to the writer and has to
  /// give the final answer, if there is one.
  std::shared_ptr<ResponseWriter> concludeRequest(RequestState& request, RequestOutcome outcome);
  /// Reports to the decision module that a concluded request was abandoned, and has its attempts
  /// cancelled.
  void abandonRequest(RequestKey key);
  /// Cancels the attempts of all requests that were abandoned since the last call, whether or not
  /// the decision module may cancel.
  void cancelAbandoned();
  /// Removes a request that is answered and has no attempt in flight.
  void removeIfComplete(RequestKey key);

  void clientDisconnected(RequestKey key);
  /// Whether the request's client is connected, checked on its connection now. The client's close
  /// may have arrived although its handler has not run yet: the request is then ended here.
  bool clientPresent(RequestKey key);

  /// Ends an attempt that was answered or has failed.
  void endAttempt(AttemptKey key, const AttemptResult& result);
  /// Closes the connection of an attempt and ends it.
  void abortAttempt(AttemptKey key, routing::AttemptOutcome outcome);

  /// How many requests are waiting for their answer or for the rest of it.
  std::size_t openRequests() const { return openRequests_; }

 private:
  RequestFacts factsOf(routing::ClassIndex index) const;
  void recordOutcome(RequestState& request,
                     const AttemptState& attempt,
                     const AttemptResult& result) const;
  void finishResponse(RequestState& request, routing::AttemptOutcome outcome);
  void cancelAll(RequestKey key);

  DispatchContext& context_;
  DecisionLoop& loop_;
  std::vector<routing::ClassSettings> classes_;
  std::vector<RequestKey> abandoned_;
  std::size_t openRequests_ = 0;
};

}  // namespace inference_router::core
