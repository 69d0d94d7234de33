// Actions: the output of the decision module, which the caller executes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "inference_router/types.h"

namespace inference_router::routing {

/// Action: send the request to the instance. The attempts of a request are numbered from 0.
struct DispatchAttempt {
  RequestId request;
  InstanceId instance;
  Time timeoutAt;                   ///< when the attempt times out
  Time sendDeadline = Time::max();  ///< after this, a repeat might be executed: no byte may be sent
};

/// Action: reserve capacity for the request at a decode instance.
struct ReserveDecode {
  RequestId request;
  InstanceId instance;
};

/// Action: release the KV caches and reservations that any instance holds for the request.
struct ReleaseState {
  RequestId request;
};

/// Action: end the request with a rejection. It was not served, and the client may safely retry it.
struct RejectRequest {
  RequestId request;
  std::optional<Duration> retryAfter;  ///< delay after which the client is advised to retry
};

/// Action: end the request with a failure. It was not served, but may have been executed.
struct FailRequest {
  RequestId request;
};

/// Action: cancel an attempt that is in flight. AttemptEnded still follows.
struct CancelAttempt {
  RequestId request;
  int attempt;
};

/// Action: close a stream early so that its client resumes it at another node.
struct MigrateStream {
  RequestId request;
};

/// Action: deliver TimerFired after the delay.
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

/// Action: request the endpoint list and subscribe to its changes.
struct SubscribeEndpoints {};

/// Action: request the endpoint list once.
struct FetchEndpoints {};

/// Action: write a line to the log.
struct LogMessage {
  std::string text;
};

/// Any action that a Router can emit.
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
