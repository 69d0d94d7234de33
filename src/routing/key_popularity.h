// Estimates the share of recent traffic that each key has.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "routing/decaying_sum.h"

namespace inference_router::routing {

/// Counts arrivals by key; counts decay with a given time constant. When there are many keys, those
/// without recent arrivals are erased.
class KeyPopularity {
 public:
  /// Number of keys beyond which those with the fewest recent arrivals are erased, however recent.
  static constexpr std::size_t kMaxKeys = std::size_t{16} * 1024;

  explicit KeyPopularity(Duration timeConstant);

  /// Records one arrival of `key`.
  void count(const std::string& key, Time now);

  std::size_t size() const { return keys_.size(); }

  /// Number of all arrivals, decayed by their age.
  double arrivals(Time now) const { return all_.at(now, timeConstant_); }

  /// The share of all arrivals that `key` has, excluding its latest one: the request being routed
  /// is no evidence of its key's popularity. Shrunk towards 0 while few arrivals have been
  /// observed.
  double shareExcludingLatest(const std::string& key, Time now) const;

 private:
  void eraseRareKeys(Time now);

  Duration timeConstant_;
  DecayingSum all_;
  std::map<std::string, DecayingSum> keys_;
  std::size_t eraseAboveKeys_;  // number of keys above which rare keys are erased
};

}  // namespace inference_router::routing
