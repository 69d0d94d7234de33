// Where the instances are and whether they are listed: what the module's names mean on the network.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "inference_router/router.h"
#include "net/pool.h"

namespace inference_router::upstream {

struct InstanceEndpoint {
  net::Endpoint address;
  routing::EndpointState state = routing::EndpointState::kActive;
  double startedMs = 0;
  double heardMs = 0;   // when it last answered anything
  double failedMs = 0;  // when it last could not be reached or did not answer
};

class InstanceDirectory {
 public:
  InstanceEndpoint* find(const routing::InstanceId& instance) {
    const auto it = endpoints_.find(instance);
    return it == endpoints_.end() ? nullptr : &it->second;
  }
  std::map<routing::InstanceId, InstanceEndpoint>& all() { return endpoints_; }

  // Takes over what a list names; a whole list names every instance that there is. Connections go
  // with what they led to: those from before a restart or to an old address would only end as
  // resets, which may have run for all that is known. Instances that are gone are let go of, or
  // every replaced instance would stay for good.
  void update(const std::map<routing::InstanceId, InstanceEndpoint>& told,
              bool whole,
              net::ConnectionPool& pool);

 private:
  std::map<routing::InstanceId, InstanceEndpoint> endpoints_;
};

}  // namespace inference_router::upstream
