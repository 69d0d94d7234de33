/// Carries out the actions of the decision module: starts and cancels attempts, reserves capacity,
/// gives final answers and sets timers.
#pragma once

#include "core/decision_loop.h"
#include "core/dispatch_context.h"
#include "core/request_guard.h"
#include "core/request_lifecycle.h"
#include "core/stream_migration.h"
#include "inference_router/router.h"

namespace inference_router::core {

class ActionExecutor {
 public:
  ActionExecutor(DispatchContext& context,
                 DecisionLoop& loop,
                 RequestLifecycle& lifecycle,
                 RequestGuard& guard,
                 StreamMigration& migration)
      : context_(context),
        loop_(loop),
        lifecycle_(lifecycle),
        guard_(guard),
        migration_(migration) {}

  /// To be called before all else, and again with later settings.
  void configure(const routing::Settings& settings) {
    hedgedRequests_ = settings.limits.hedgedRequests;
  }

  /// An action for a request that is over does nothing.
  void carryOut(const routing::Action& action);

 private:
  void carryOut(const routing::DispatchAttempt& action);
  void carryOut(const routing::ReserveDecode& action);
  void carryOut(const routing::ReleaseState& action);
  void carryOut(const routing::RejectRequest& action);
  void carryOut(const routing::FailRequest& action);
  void carryOut(const routing::CancelAttempt& action);
  void carryOut(const routing::MigrateStream& action);
  void carryOut(const routing::SetTimer& action);
  void carryOut(const routing::SendHealthCheck& action);
  void carryOut(const routing::LogMessage& action);
  // Nodes share nothing this way, and the endpoint list is always watched.
  void carryOut(const routing::SendGossip&) {}
  void carryOut(const routing::SubscribeEndpoints&) {}
  void carryOut(const routing::FetchEndpoints&) {}

  AttemptKey addAttempt(RequestKey owner, const routing::DispatchAttempt& action, bool isPrefill);
  RequestState* findUnanswered(const routing::RequestId& id);
  double nextSendMs(const RequestState& request) const;
  double rejectionMs(const RequestState& request) const;

  DispatchContext& context_;
  DecisionLoop& loop_;
  RequestLifecycle& lifecycle_;
  RequestGuard& guard_;
  StreamMigration& migration_;
  bool hedgedRequests_ = false;
};

}  // namespace inference_router::core
