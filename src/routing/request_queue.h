// Order in which queued requests are processed.
#pragma once

#include <algorithm>
#include <compare>

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// A queued request. Compares in processing order: requests with a KV cache first, since it
/// occupies memory, then by priority, then by deadline.
struct QueuedRequest {
  bool hasNoKvCache;
  double negativePriority;
  Time deadline;
  RequestId id;
  auto operator<=>(const QueuedRequest&) const = default;
};

/// Whether the request waits for its next attempt.
inline bool isQueued(const RequestRecord& request) {
  return request.phase == Phase::kWaiting || request.phase == Phase::kPrefilled;
}

/// Whether any of the requests has neither its first token nor a final answer.
inline bool anyBeforeFirstToken(const RequestMap& requests) {
  return std::any_of(requests.begin(), requests.end(),
                     [](const auto& entry) { return entry.second.phase < Phase::kStreaming; });
}

/// The queue entry of a request.
inline QueuedRequest queueEntry(const Settings& settings,
                                const RequestId& id,
                                const RequestRecord& request) {
  return {request.phase == Phase::kWaiting, -classOf(settings, request).priorityWeight,
          request.deadline, id};
}

}  // namespace inference_router::routing
