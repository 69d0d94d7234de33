/// Executes the actions of the decision module: starts and cancels attempts, reserves capacity,
/// writes final answers and sets timers.
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

  /// Has to be called before any other function, and again when the settings change.
  void configure(const routing::Settings& settings) {
    hedgedRequests_ = settings.limits.hedgedRequests;
  }

  /// Executes one action. Does nothing if the action's request has ended.
  void execute(const routing::Action& action);

 private:
  void execute(const routing::DispatchAttempt& action);
  void execute(const routing::ReserveDecode& action);
  void execute(const routing::ReleaseState& action);
  void execute(const routing::RejectRequest& action);
  void execute(const routing::FailRequest& action);
  void execute(const routing::CancelAttempt& action);
  void execute(const routing::MigrateStream& action);
  void execute(const routing::SetTimer& action);
  void execute(const routing::SendHealthCheck& action);
  void execute(const routing::LogMessage& action);
  // Not used: nodes do not share state through gossip actions, and the endpoint list is always
  // watched.
  void execute(const routing::SendGossip&) {}
  void execute(const routing::SubscribeEndpoints&) {}
  void execute(const routing::FetchEndpoints&) {}

  AttemptKey addAttempt(RequestKey owner, const routing::DispatchAttempt& action, bool isPrefill);
  RequestState* findUnanswered(const routing::RequestId& id);
  double earliestSendMs(const RequestState& request) const;
  double earliestRejectionMs(const RequestState& request) const;

  DispatchContext& context_;
  DecisionLoop& loop_;
  RequestLifecycle& lifecycle_;
  RequestGuard& guard_;
  StreamMigration& migration_;
  bool hedgedRequests_ = false;
};

}  // namespace inference_router::core
