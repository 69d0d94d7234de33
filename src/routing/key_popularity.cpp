#include "routing/key_popularity.h"

#include <algorithm>

namespace inference_router::routing {
namespace {

// Arrivals of other keys that are assumed beside those seen.
constexpr double kPriorArrivals = 10;
// Number of keys above which rare ones are forgotten.
constexpr std::size_t kMaxKeys = 500;
// Lower bound of the decayed arrivals of a key that is kept then.
constexpr double kMinRetainedArrivals = 0.5;

}  // namespace

void KeyPopularity::count(const std::string& key, Time now) {
  all_.add(1, now, timeConstant_);
  keys_[key].add(1, now, timeConstant_);
  if (keys_.size() <= kMaxKeys)
    return;
  std::erase_if(keys_, [&](const auto& entry) {
    return entry.second.at(now, timeConstant_) < kMinRetainedArrivals;
  });
}

double KeyPopularity::shareExcludingLatest(const std::string& key, Time now) const {
  const auto found = keys_.find(key);
  if (found == keys_.end())
    return 0;
  const double others = std::max(0.0, found->second.at(now, timeConstant_) - 1);
  return others / (arrivals(now) + kPriorArrivals);
}

}  // namespace inference_router::routing
