#include "fleet/instance_ages.h"

#include <algorithm>

namespace inference_router::fleet {

void InstanceAges::sees(double upSinceMs) {
  if (upSinceMs <= 0)
    return;
  const double least = upSinceMs - clock_.nowMs();
  offsetMs_ = std::max(offsetMs_.value_or(least), least);
}

std::optional<double> InstanceAges::startOf(const std::string& id, double upSinceMs) {
  if (upSinceMs <= 0) {
    known_.erase(id);
    return std::nullopt;
  }
  const auto it = known_.find(id);
  if (it != known_.end() && it->second.upSinceMs == upSinceMs)
    return it->second.startedMs;
  const double startedMs = estimate(upSinceMs);
  known_[id] = {upSinceMs, startedMs};
  return startedMs;
}

double InstanceAges::estimate(double upSinceMs) const {
  const double now = clock_.nowMs();
  const double byOffset = upSinceMs - offsetMs_.value_or(upSinceMs - now);
  return std::min(now, heardMs_ ? std::max(byOffset, *heardMs_) : byOffset);
}

void InstanceAges::keepOnly(const std::set<std::string>& listed) {
  std::erase_if(known_, [&](const auto& entry) { return listed.count(entry.first) == 0; });
}

}  // namespace inference_router::fleet
