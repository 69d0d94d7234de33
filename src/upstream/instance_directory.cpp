#include "upstream/instance_directory.h"

namespace inference_router::upstream {

void InstanceDirectory::update(const std::map<routing::InstanceId, InstanceEndpoint>& told,
                               bool whole,
                               net::ConnectionPool& pool) {
  for (const auto& [id, news] : told) {
    InstanceEndpoint& endpoint = endpoints_[id];
    const bool fresh = endpoint.startedMs != news.startedMs || endpoint.address != news.address;
    if (fresh) {
      pool.dropIdle(endpoint.address);
      endpoint.failedMs = 0;
    }
    endpoint.address = news.address;
    endpoint.state = news.state;
    endpoint.startedMs = news.startedMs;
  }
  std::erase_if(endpoints_, [&](const auto& entry) {
    const bool gone = entry.second.state == routing::EndpointState::kRemoved ||
                      (whole && told.count(entry.first) == 0);
    if (gone)
      pool.dropIdle(entry.second.address);
    return gone;
  });
}

}  // namespace inference_router::upstream
