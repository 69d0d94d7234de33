/// Applies the RequestPermits to the requests, attempts and instances in the tables: decides
/// whether a message may be sent, and checks the messages that were sent.
#pragma once

#include <vector>

#include "core/dispatch_context.h"
#include "core/request_lifecycle.h"

namespace inference_router::core {

class RequestGuard {
 public:
  RequestGuard(DispatchContext& context, RequestLifecycle& lifecycle)
      : context_(context), lifecycle_(lifecycle) {}

  /// Whether an attempt may be sent now. Denials are counted by reason.
  bool maySend(AttemptKey key);
  /// Whether an instance may be asked for a reservation now.
  bool mayReserve(const routing::InstanceId& instance) const;
  /// Whether the attempt's client is connected and its deadline has not passed.
  bool attemptIsWanted(AttemptKey key);

  /// Counts and logs the rules that the start of a new attempt violates.
  void checkAttempt(const RequestState& request) const;
  /// Counts and logs the rules that an attempt to the instance violates whose last byte was just
  /// written.
  void checkWritten(const RequestState& request, const routing::InstanceId& instance) const;
  /// Counts and logs the rules that a rejection of the request violates.
  void checkRejection(const RequestState& request) const;

 private:
  Permit permitOf(AttemptKey key);
  void report(const std::vector<Violation>& violations, const RequestState& request) const;

  DispatchContext& context_;
  RequestLifecycle& lifecycle_;
};

}  // namespace inference_router::core
