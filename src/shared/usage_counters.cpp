#include "shared/usage_counters.h"

#include <algorithm>
#include <array>

namespace inference_router::shared {

namespace {

constexpr std::array kCounters{&UsageCounters::served,       &UsageCounters::refused,
                               &UsageCounters::failed,       &UsageCounters::promptTokens,
                               &UsageCounters::answerTokens, &UsageCounters::refusedTokens,
                               &UsageCounters::failedTokens};

}  // namespace

void UsageCounters::add(const UsageCounters& other) {
  for (const auto counter : kCounters)
    this->*counter += other.*counter;
}

bool UsageCounters::dominates(const UsageCounters& other) const {
  return std::all_of(kCounters.begin(), kCounters.end(),
                     [&](const auto counter) { return this->*counter >= other.*counter; });
}

void addUsage(UsageTable& to, const UsageTable& from) {
  for (const auto& [key, counters] : from)
    to[key].add(counters);
}

UsageTable usageSince(const UsageTable& current, const UsageTable& previous) {
  UsageTable difference;
  for (const auto& [key, counters] : current) {
    const auto found = previous.find(key);
    UsageCounters increase = counters;
    if (found != previous.end())
      for (const auto counter : kCounters)
        increase.*counter -= std::min(increase.*counter, found->second.*counter);
    if (increase != UsageCounters{})
      difference[key] = increase;
  }
  return difference;
}

void merge(UsageTable& to, const UsageTable& from) {
  for (const auto& [key, counters] : from) {
    UsageCounters& merged = to[key];
    for (const auto counter : kCounters)
      merged.*counter = std::max(merged.*counter, counters.*counter);
  }
}

bool isMonotonic(const UsageTable& current, const UsageTable& previous) {
  return std::all_of(previous.begin(), previous.end(), [&](const auto& entry) {
    const auto it = current.find(entry.first);
    return it != current.end() && it->second.dominates(entry.second);
  });
}

bool FleetUsage::merge(const Origin& from, const UsageTable& part) {
  UsageTable& highest = parts_[from];
  const bool monotonic = isMonotonic(part, highest);
  shared::merge(highest, part);
  return monotonic;
}

void FleetUsage::fold(const Origin& from) {
  const auto it = parts_.find(from);
  if (it == parts_.end())
    return;
  addUsage(base_, it->second);
  parts_.erase(it);
}

UsageTable FleetUsage::total() const {
  UsageTable all = base_;
  for (const auto& [from, part] : parts_)
    addUsage(all, part);
  return all;
}

}  // namespace inference_router::shared
