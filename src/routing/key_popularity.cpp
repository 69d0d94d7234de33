#include "routing/key_popularity.h"

#include <algorithm>

namespace inference_router::routing {
namespace {

// Number of assumed arrivals of other keys, added to the observed ones.
constexpr double kPriorArrivals = 10;
// Number of keys above which rare keys are erased.
constexpr std::size_t kMaxKeys = 500;
// Minimum decayed arrivals of a key for it to be retained then.
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
