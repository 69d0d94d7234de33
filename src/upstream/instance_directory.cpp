#include "upstream/instance_directory.h"

namespace inference_router::upstream {

void InstanceDirectory::update(const std::map<routing::InstanceId, InstanceEndpoint>& listed,
                               bool complete,
                               net::ConnectionPool& pool) {
  for (const auto& [id, record] : listed) {
    InstanceEndpoint& endpoint = endpoints_[id];
    const bool replaced =
        endpoint.startedMs != record.startedMs || endpoint.address != record.address;
    if (replaced) {
      pool.dropIdle(endpoint.address);
      endpoint.lastFailureMs = 0;
    }
    endpoint.address = record.address;
    endpoint.state = record.state;
    endpoint.startedMs = record.startedMs;
  }
  std::erase_if(endpoints_, [&](const auto& entry) {
    const bool removed = entry.second.state == routing::EndpointState::kRemoved ||
                         (complete && listed.count(entry.first) == 0);
    if (removed)
      pool.dropIdle(entry.second.address);
    return removed;
  });
}

}  // namespace inference_router::upstream
