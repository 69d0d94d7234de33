// Estimates the share of recent traffic that each key has.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "routing/decaying_sum.h"

namespace inference_router::routing {

/// Counts arrivals by key; counts decay with a given time constant. When there are many keys, those
/// without recent arrivals are erased, so memory use is bounded by the traffic within a few time
/// constants.
class KeyPopularity {
 public:
  explicit KeyPopularity(Duration timeConstant) : timeConstant_(timeConstant) {}

  /// Records one arrival of `key`.
  void count(const std::string& key, Time now);

  /// Number of all arrivals, decayed by their age.
  double arrivals(Time now) const { return all_.at(now, timeConstant_); }

  /// The share of all arrivals that `key` has, excluding its latest one: the request being routed
  /// is no evidence of its key's popularity. Shrunk towards 0 while few arrivals have been
  /// observed.
  double shareExcludingLatest(const std::string& key, Time now) const;

 private:
  Duration timeConstant_;
  DecayingSum all_;
  std::map<std::string, DecayingSum> keys_;
};

}  // namespace inference_router::routing
