/// Begins and ends requests and attempts, and nothing else does. Holds two invariants whatever the
/// decision module, clients and instances do: a request gets one final answer, and each
/// DispatchAttempt gets one AttemptEnded.
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

  /// To be called before all else, and again with later settings.
  void configure(const routing::Settings& settings) { classes_ = settings.classes; }

  /// Adds a request that is owed an answer. No request of its id may be in the table.
  RequestKey beginRequest(const routing::Arrival& arrival,
                          std::shared_ptr<const Payload> payload,
                          std::shared_ptr<ResponseWriter> responseWriter);
  /// Ends the request for its client. Whoever gets the writer is the only one to use it from now
  /// on, and gives the final answer.
  std::shared_ptr<ResponseWriter> concludeRequest(RequestState& request, RequestOutcome outcome);
  /// Tells the decision module that nobody waits for a concluded request, and cancels its attempts.
  void abandonRequest(RequestKey key);
  /// Cancels the attempts of all requests that were abandoned since the last call, whether or not
  /// the decision module may cancel.
  void cancelAbandoned();
  /// Removes a request that is answered and has no attempt in flight.
  void removeIfComplete(RequestKey key);

  void clientDisconnected(RequestKey key);
  /// Whether the request's client is connected, as its machine has said up to this moment. Its
  /// close may have come while the handler of it still waits for its turn: then the request ends
  /// here.
  bool clientPresent(RequestKey key);

  /// Ends an attempt that its instance has answered, or that has failed.
  void endAttempt(AttemptKey key, const AttemptResult& result);
  /// Closes the connection of an attempt and ends it.
  void abortAttempt(AttemptKey key, routing::AttemptOutcome outcome);

  /// How many requests are owed an answer or the rest of it.
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
