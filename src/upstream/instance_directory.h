/// Where the instances are, whether they are listed, and when they last answered. Belongs to one
/// thread.
#pragma once

#include <map>

#include "inference_router/router.h"
#include "net/pool.h"

namespace inference_router::upstream {

/// What is known of one instance. Times are of core::Clock, in milliseconds; 0: never.
struct InstanceEndpoint {
  net::Endpoint address;
  routing::EndpointState state = routing::EndpointState::kActive;
  double startedMs = 0;
  double lastAnswerMs = 0;   ///< when it last answered anything
  double lastFailureMs = 0;  ///< when it last could not be reached or did not answer
};

class InstanceDirectory {
 public:
  /// Null if the instance is unknown. Valid until the next update() that removes the instance.
  InstanceEndpoint* find(const routing::InstanceId& instance) {
    const auto found = endpoints_.find(instance);
    return found == endpoints_.end() ? nullptr : &found->second;
  }
  std::map<routing::InstanceId, InstanceEndpoint>& all() { return endpoints_; }

  /// The instance has answered something.
  void recordAnswer(const routing::InstanceId& instance, double nowMs) {
    if (InstanceEndpoint* endpoint = find(instance))
      endpoint->lastAnswerMs = nowMs;
  }
  /// The instance could not be reached or did not answer.
  void recordFailure(const routing::InstanceId& instance, double nowMs) {
    if (InstanceEndpoint* endpoint = find(instance))
      endpoint->lastFailureMs = nowMs;
  }

  /// Takes in an endpoint list; a complete one names every instance that there is. Idle connections
  /// to an instance that restarted, moved or was removed are closed: they would only end as resets,
  /// after which a request may have run for all that is known. Removed instances are forgotten.
  void update(const std::map<routing::InstanceId, InstanceEndpoint>& listed,
              bool complete,
              net::ConnectionPool& pool);

 private:
  std::map<routing::InstanceId, InstanceEndpoint> endpoints_;
};

}  // namespace inference_router::upstream
