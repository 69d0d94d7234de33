// What the decision module decides: its output, which the caller carries out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "inference_router/types.h"

namespace inference_router::routing {

/// Action: send the request to the instance. The attempts of a request count from 0.
struct DispatchAttempt {
  RequestId request;
  InstanceId instance;
  Time timeoutAt;  ///< the attempt times out then
  Time sendDeadline =
      Time::max();  ///< nothing of it may go out from then on: a repeat might be executed
};

/// Action: reserve capacity for the request at a decode instance.
struct ReserveDecode {
  RequestId request;
  InstanceId instance;
};

/// Action: release the KV caches and reservations that are held for the request anywhere.
struct ReleaseState {
  RequestId request;
};

/// Action: the final answer of a request that was not served; the client may repeat it.
struct RejectRequest {
  RequestId request;
  std::optional<Duration> retryAfter;  ///< advice for the client
};

/// Action: the final answer of a request that was not served; it may have been executed.
struct FailRequest {
  RequestId request;
};

/// Action: cancel an attempt that is out; AttemptEnded still follows.
struct CancelAttempt {
  RequestId request;
  int attempt;
};

/// Action: break a stream off so that its client resumes it at another node.
struct MigrateStream {
  RequestId request;
};

/// Action: send TimerFired after that time.
struct SetTimer {
  std::uint64_t timer;
  Duration delay;
};

/// Action: send a health check.
struct SendHealthCheck {
  InstanceId instance;
};

/// Action: send gossip to all other nodes.
struct SendGossip {
  std::string bytes;
};

/// Action: ask for the endpoint list and for its changes from then on.
struct SubscribeEndpoints {};

/// Action: ask for the endpoint list once.
struct FetchEndpoints {};

/// Action: write a line to the log.
struct LogMessage {
  std::string text;
};

/// Everything that a Router decides.
using Action = std::variant<DispatchAttempt,
                            ReserveDecode,
                            ReleaseState,
                            RejectRequest,
                            FailRequest,
                            CancelAttempt,
                            MigrateStream,
                            SetTimer,
                            SendHealthCheck,
                            SendGossip,
                            SubscribeEndpoints,
                            FetchEndpoints,
                            LogMessage>;

}  // namespace inference_router::routing
