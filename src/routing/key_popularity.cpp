#include "routing/key_popularity.h"

#include <algorithm>

namespace inference_router::routing {
namespace {

constexpr double kPriorArrivals = 10;  // arrivals of other keys that are assumed beside those seen
constexpr std::size_t kKeysKept =
    500;  // beyond these, keys with less than the following are forgotten
constexpr double kForgottenBelow = 0.5;  // decayed arrivals

}  // namespace

void KeyPopularity::count(const std::string& key, Time now) {
  all_.add(1, now, timeConstant_);
  keys_[key].add(1, now, timeConstant_);
  if (keys_.size() <= kKeysKept)
    return;
  std::erase_if(keys_, [&](const auto& entry) {
    return entry.second.at(now, timeConstant_) < kForgottenBelow;
  });
}

double KeyPopularity::shareOfOthers(const std::string& key, Time now) const {
  const auto found = keys_.find(key);
  if (found == keys_.end())
    return 0;
  const double others = std::max(0.0, found->second.at(now, timeConstant_) - 1);
  return others / (arrivals(now) + kPriorArrivals);
}

}  // namespace inference_router::routing
