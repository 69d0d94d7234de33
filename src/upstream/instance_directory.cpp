#include "upstream/instance_directory.h"

namespace inference_router::upstream {

void Directory::update(const std::map<routing::EngineId, Box>& told, bool whole, net::Pool& pool) {
  for (const auto& [id, news] : told) {
    Box& box = boxes_[id];
    const bool fresh = box.startedMs != news.startedMs || box.address != news.address;
    if (fresh) {
      pool.dropIdle(box.address);
      box.failedMs = 0;
    }
    box.address = news.address;
    box.presence = news.presence;
    box.startedMs = news.startedMs;
  }
  std::erase_if(boxes_, [&](const auto& entry) {
    const bool gone = entry.second.presence == routing::Presence::kGone ||
                      (whole && told.count(entry.first) == 0);
    if (gone)
      pool.dropIdle(entry.second.address);
    return gone;
  });
}

}  // namespace inference_router::upstream
