#include "upstream/owed_releases.h"

#include <algorithm>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

void OwedReleases::owe(const InstanceId& instance, const RequestId& request, double nowMs) {
  instances_[instance].entries[request] = Entry{.owedSinceMs = nowMs, .dueMs = nowMs};
  if (size() > kMaxOwed)
    dropOldest();
}

// How many more releases may be sent to the instance now.
std::size_t OwedReleases::capacity(const Instance& instance) {
  const std::size_t maxInFlight = instance.responsive ? kMaxInFlight : 1;
  const auto isInFlight = [](const auto& entry) { return entry.second.inFlight; };
  const auto inFlight = static_cast<std::size_t>(
      std::count_if(instance.entries.begin(), instance.entries.end(), isInFlight));
  return maxInFlight - std::min(maxInFlight, inFlight);
}

std::vector<OwedReleases::Release> OwedReleases::due(double nowMs) {
  expire(nowMs);
  std::vector<Release> releases;
  for (auto& [id, instance] : instances_) {
    std::size_t remaining = nowMs < instance.pausedUntilMs ? 0 : capacity(instance);
    for (auto& [request, entry] : instance.entries) {
      if (remaining == 0 || entry.inFlight || nowMs < entry.dueMs)
        continue;
      entry.inFlight = true;
      --remaining;
      releases.push_back({.instance = id, .request = request});
    }
  }
  return releases;
}

void OwedReleases::accepted(const Release& release, double nowMs) {
  const auto found = instances_.find(release.instance);
  if (found == instances_.end())
    return;
  Instance& instance = found->second;
  instance.responsive = true;
  const auto entry = instance.entries.find(release.request);
  if (entry == instance.entries.end() || !entry->second.inFlight)
    return;
  entry->second.inFlight = false;
  entry->second.dueMs = nowMs + intervalMs_;
  if (++entry->second.acceptances < kMinAcceptances)
    return;
  instance.entries.erase(entry);
  if (instance.entries.empty())
    instances_.erase(found);
}

void OwedReleases::failed(const Release& release, double nowMs) {
  const auto found = instances_.find(release.instance);
  if (found == instances_.end())
    return;
  Instance& instance = found->second;
  instance.responsive = false;
  instance.pausedUntilMs = nowMs + kRetryDelayMs;
  const auto entry = instance.entries.find(release.request);
  if (entry == instance.entries.end())
    return;
  entry->second.inFlight = false;
  entry->second.dueMs = nowMs;
}

std::optional<double> OwedReleases::nextMs() const {
  std::optional<double> next;
  for (const auto& [id, instance] : instances_) {
    if (capacity(instance) == 0)
      continue;
    for (const auto& [request, entry] : instance.entries) {
      const double dueMs = std::max(entry.dueMs, instance.pausedUntilMs);
      if (!entry.inFlight)
        next = std::min(next.value_or(dueMs), dueMs);
    }
  }
  return next;
}

std::size_t OwedReleases::size() const {
  std::size_t count = 0;
  for (const auto& [id, instance] : instances_)
    count += instance.entries.size();
  return count;
}

void OwedReleases::dropOldest() {
  auto owner = instances_.end();
  std::map<RequestId, Entry>::iterator oldest;
  for (auto instance = instances_.begin(); instance != instances_.end(); ++instance) {
    auto& entries = instance->second.entries;
    for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
      if (owner != instances_.end() && entry->second.owedSinceMs >= oldest->second.owedSinceMs)
        continue;
      owner = instance;
      oldest = entry;
    }
  }
  owner->second.entries.erase(oldest);
  if (owner->second.entries.empty())
    instances_.erase(owner);
}

void OwedReleases::expire(double nowMs) {
  const auto isExpired = [nowMs](const auto& entry) {
    return nowMs - entry.second.owedSinceMs > kMaxAgeMs;
  };
  for (auto& [id, instance] : instances_)
    std::erase_if(instance.entries, isExpired);
  std::erase_if(instances_, [](const auto& entry) { return entry.second.entries.empty(); });
}

}  // namespace inference_router::upstream
