#include "fleet/instance_ages.h"

#include <algorithm>

namespace inference_router::fleet {

void InstanceAges::observeStart(double reportedStartMs) {
  if (reportedStartMs <= 0)
    return;
  const double minOffset = reportedStartMs - clock_.nowMs();
  offsetMs_ = std::max(offsetMs_.value_or(minOffset), minOffset);
}

std::optional<double> InstanceAges::startTime(const std::string& id, double reportedStartMs) {
  if (reportedStartMs <= 0) {
    starts_.erase(id);
    return std::nullopt;
  }
  const auto it = starts_.find(id);
  if (it != starts_.end() && it->second.reportedStartMs == reportedStartMs)
    return it->second.startedMs;
  const double startedMs = estimate(reportedStartMs);
  starts_[id] = {reportedStartMs, startedMs};
  return startedMs;
}

double InstanceAges::estimate(double reportedStartMs) const {
  const double now = clock_.nowMs();
  const double byOffset = reportedStartMs - offsetMs_.value_or(reportedStartMs - now);
  return std::min(now, lastContactMs_ ? std::max(byOffset, *lastContactMs_) : byOffset);
}

void InstanceAges::keepOnly(const std::set<std::string>& listed) {
  std::erase_if(starts_, [&](const auto& entry) { return listed.count(entry.first) == 0; });
}

}  // namespace inference_router::fleet
