/// The addresses of the instances, their listed states, and when they last answered. Not
/// thread-safe.
#pragma once

#include <map>

#include "inference_router/router.h"
#include "net/pool.h"

namespace inference_router::upstream {

/// What is known of one instance. Times are of core::Clock, in milliseconds; 0 means never.
struct InstanceEndpoint {
  net::Endpoint address;
  routing::EndpointState state = routing::EndpointState::kActive;
  double startedMs = 0;
  double lastAnswerMs = 0;   ///< when it last sent any answer
  double lastFailureMs = 0;  ///< when it was last unreachable or did not answer
};

class InstanceDirectory {
 public:
  /// Null if the instance is unknown. Valid until the next update() that removes the instance.
  InstanceEndpoint* find(const routing::InstanceId& instance) {
    const auto found = endpoints_.find(instance);
    return found == endpoints_.end() ? nullptr : &found->second;
  }
  std::map<routing::InstanceId, InstanceEndpoint>& all() { return endpoints_; }

  /// Records that the instance has sent any answer.
  void recordAnswer(const routing::InstanceId& instance, double nowMs) {
    if (InstanceEndpoint* endpoint = find(instance))
      endpoint->lastAnswerMs = nowMs;
  }
  /// Records that the instance was unreachable or did not answer.
  void recordFailure(const routing::InstanceId& instance, double nowMs) {
    if (InstanceEndpoint* endpoint = find(instance))
      endpoint->lastFailureMs = nowMs;
  }

  /// Applies an endpoint list; a complete one contains all instances. Closes idle connections to
  /// instances that restarted, moved or were removed: they would only be reset when used, and after
  /// a reset it is unknown whether the request has run. Removed instances are forgotten.
  void update(const std::map<routing::InstanceId, InstanceEndpoint>& listed,
              bool complete,
              net::ConnectionPool& pool);

 private:
  std::map<routing::InstanceId, InstanceEndpoint> endpoints_;
};

}  // namespace inference_router::upstream
