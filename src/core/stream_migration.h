/// Moves streams elsewhere: to the process that replaces this one, which adopts them, or to another
/// router, to which a client reconnects when its stream is aborted.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/decision_loop.h"
#include "core/dispatch_context.h"
#include "core/request_lifecycle.h"
#include "inference_router/router.h"

namespace inference_router::core {

/// A request whose response is being streamed to its client.
struct OpenStream {
  RequestKey request;
  AttemptKey attempt;
  routing::Arrival arrival;
  routing::InstanceId instance;
};

class StreamMigration {
 public:
  StreamMigration(DispatchContext& context, DecisionLoop& loop, RequestLifecycle& lifecycle)
      : context_(context), loop_(loop), lifecycle_(lifecycle) {}

  /// All requests whose streams can be handed over now.
  std::vector<RequestKey> streams() const;
  /// The stream of a request; nothing if the request cannot be handed over now.
  std::optional<OpenStream> streamOf(RequestKey key) const;
  /// Ends a request that another process has taken over, without an answer from this process.
  void handedOver(RequestKey key);
  /// Takes over a stream that another process began. Nothing if a request with its id is in the
  /// table.
  std::optional<OpenStream> adopt(const routing::Arrival& arrival,
                                  const routing::InstanceId& instance,
                                  std::shared_ptr<ResponseWriter> responseWriter);

  /// Aborts a stream, so that its client reconnects through another router.
  void migrate(const routing::MigrateStream& action);

 private:
  void abortOnceRead(AttemptKey key, int remainingChecks);

  DispatchContext& context_;
  DecisionLoop& loop_;
  RequestLifecycle& lifecycle_;
};

}  // namespace inference_router::core
