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

void UsageCounters::add(const UsageCounters& more) {
  for (const auto counter : kCounters)
    this->*counter += more.*counter;
}

bool UsageCounters::dominates(const UsageCounters& other) const {
  return std::all_of(kCounters.begin(), kCounters.end(),
                     [&](const auto counter) { return this->*counter >= other.*counter; });
}

void addUsage(UsageTable& to, const UsageTable& more) {
  for (const auto& [key, counters] : more)
    to[key].add(counters);
}

UsageTable usageSince(const UsageTable& now, const UsageTable& before) {
  UsageTable difference;
  for (const auto& [key, counters] : now) {
    const auto previous = before.find(key);
    UsageCounters left = counters;
    if (previous != before.end())
      for (const auto counter : kCounters)
        left.*counter -= std::min(left.*counter, previous->second.*counter);
    if (left != UsageCounters{})
      difference[key] = left;
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

bool isMonotonic(const UsageTable& now, const UsageTable& before) {
  return std::all_of(before.begin(), before.end(), [&](const auto& entry) {
    const auto it = now.find(entry.first);
    return it != now.end() && it->second.dominates(entry.second);
  });
}

bool FleetUsage::merge(const Origin& from, const UsageTable& part) {
  UsageTable& known = parts_[from];
  const bool monotonic = isMonotonic(part, known);
  shared::merge(known, part);
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
