#include "upstream/owed_releases.h"

#include <algorithm>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

void OwedReleases::owe(const InstanceId& instance, const RequestId& request, double nowMs) {
  instances_[instance].entries[request] = Entry{.sinceMs = nowMs, .dueMs = nowMs};
  if (size() > kMost)
    dropOldest();
}

// How many more may be sent to it now.
std::size_t OwedReleases::room(const Instance& instance) {
  const std::size_t most = instance.answers ? kMostSent : 1;
  const auto sent =
      static_cast<std::size_t>(std::count_if(instance.entries.begin(), instance.entries.end(),
                                             [](const auto& entry) { return entry.second.sent; }));
  return most - std::min(most, sent);
}

std::vector<OwedReleases::Release> OwedReleases::due(double nowMs) {
  expire(nowMs);
  std::vector<Release> found;
  for (auto& [id, instance] : instances_) {
    std::size_t left = nowMs < instance.resumesMs ? 0 : room(instance);
    for (auto& [request, entry] : instance.entries) {
      if (left == 0 || entry.sent || nowMs < entry.dueMs)
        continue;
      entry.sent = true;
      --left;
      found.push_back({id, request});
    }
  }
  return found;
}

void OwedReleases::accepted(const Release& release, double nowMs) {
  const auto at = instances_.find(release.instance);
  if (at == instances_.end())
    return;
  Instance& instance = at->second;
  instance.answers = true;
  const auto entry = instance.entries.find(release.request);
  if (entry == instance.entries.end() || !entry->second.sent)
    return;
  entry->second.sent = false;
  entry->second.dueMs = nowMs + apartMs_;
  if (++entry->second.acceptances < kAcceptances)
    return;
  instance.entries.erase(entry);
  if (instance.entries.empty())
    instances_.erase(at);
}

void OwedReleases::failed(const Release& release, double nowMs) {
  const auto at = instances_.find(release.instance);
  if (at == instances_.end())
    return;
  at->second.answers = false;
  at->second.resumesMs = nowMs + kAgainMs;
  const auto entry = at->second.entries.find(release.request);
  if (entry == at->second.entries.end())
    return;
  entry->second.sent = false;
  entry->second.dueMs = nowMs;
}

std::optional<double> OwedReleases::nextMs() const {
  std::optional<double> next;
  for (const auto& [id, instance] : instances_) {
    if (room(instance) == 0)
      continue;
    for (const auto& [request, entry] : instance.entries) {
      const double dueMs = std::max(entry.dueMs, instance.resumesMs);
      if (!entry.sent)
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

std::vector<InstanceId> OwedReleases::instances() const {
  std::vector<InstanceId> found;
  for (const auto& [id, instance] : instances_)
    found.push_back(id);
  return found;
}

void OwedReleases::dropOldest() {
  auto oldest = instances_.end();
  std::map<RequestId, Entry>::iterator entry;
  for (auto at = instances_.begin(); at != instances_.end(); ++at)
    for (auto it = at->second.entries.begin(); it != at->second.entries.end(); ++it)
      if (oldest == instances_.end() || it->second.sinceMs < entry->second.sinceMs) {
        oldest = at;
        entry = it;
      }
  oldest->second.entries.erase(entry);
  if (oldest->second.entries.empty())
    instances_.erase(oldest);
  ++dropped_;
}

void OwedReleases::expire(double nowMs) {
  for (auto& [id, instance] : instances_)
    std::erase_if(instance.entries,
                  [nowMs](const auto& entry) { return nowMs - entry.second.sinceMs > kForgetMs; });
  std::erase_if(instances_, [](const auto& entry) { return entry.second.entries.empty(); });
}

}  // namespace inference_router::upstream
