#include "routing/key_popularity.h"

#include <algorithm>

namespace inference_router::routing {
namespace {

// Number of assumed arrivals of other keys, added to the observed ones.
constexpr double kPriorArrivals = 10;
// Number of keys up to which none is erased.
constexpr std::size_t kMinKeys = 500;
// Minimum decayed arrivals of a key for it to be retained then.
constexpr double kMinRetainedArrivals = 0.5;

}  // namespace

KeyPopularity::KeyPopularity(Duration timeConstant)
    : timeConstant_(timeConstant), eraseAboveKeys_(kMinKeys) {}

void KeyPopularity::count(const std::string& key, Time now) {
  all_.add(1, now, timeConstant_);
  keys_[key].add(1, now, timeConstant_);
  if (keys_.size() > eraseAboveKeys_)
    eraseRareKeys(now);
}

// Runs again only once the number of keys has doubled, so that its cost for each arrival is
// bounded. Above half of kMaxKeys, the next run could come too late: keys with more arrivals are
// erased, too.
void KeyPopularity::eraseRareKeys(Time now) {
  for (double minArrivals = kMinRetainedArrivals;; minArrivals *= 2) {
    std::erase_if(keys_, [&](const auto& entry) {
      return entry.second.at(now, timeConstant_) < minArrivals;
    });
    if (keys_.size() <= kMaxKeys / 2)
      break;
  }
  eraseAboveKeys_ = std::max(kMinKeys, 2 * keys_.size());
}

double KeyPopularity::shareExcludingLatest(const std::string& key, Time now) const {
  const auto found = keys_.find(key);
  if (found == keys_.end())
    return 0;
  const double others = std::max(0.0, found->second.at(now, timeConstant_) - 1);
  return others / (arrivals(now) + kPriorArrivals);
}

}  // namespace inference_router::routing
