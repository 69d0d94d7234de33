// The order in which requests that wait for an attempt are advanced.
#pragma once

#include <algorithm>
#include <compare>

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// A request that waits, compared by the order in which it is advanced: those with a KV cache
/// first, as it takes memory; then by priority, then by deadline.
struct QueuedRequest {
  bool hasNoKvCache;
  double negativePriority;
  Time deadline;
  RequestId id;
  auto operator<=>(const QueuedRequest&) const = default;
};

/// Whether the request waits for an attempt.
inline bool isQueued(const RequestRecord& request) {
  return request.phase == Phase::kWaiting || request.phase == Phase::kPrefilled;
}

/// Whether any of the requests is open and has no token yet.
inline bool anyBeforeFirstToken(const RequestMap& requests) {
  return std::any_of(requests.begin(), requests.end(),
                     [](const auto& entry) { return entry.second.phase < Phase::kStreaming; });
}

/// The place of a request in the queue.
inline QueuedRequest queueEntry(const Settings& settings,
                                const RequestId& id,
                                const RequestRecord& request) {
  return {request.phase == Phase::kWaiting, -classOf(settings, request).priorityWeight,
          request.deadline, id};
}

}  // namespace inference_router::routing
