// Which share of recent traffic each key has, from a small sample.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "routing/decaying_sum.h"

namespace inference_router::routing {

/// Counts arrivals by key; a count decays with the time constant given. Keys that were not seen for
/// long are forgotten once there are many, so memory is bounded by the traffic within some time
/// constants.
class KeyPopularity {
 public:
  explicit KeyPopularity(Duration timeConstant) : timeConstant_(timeConstant) {}

  /// Counts one arrival of `key`.
  void count(const std::string& key, Time now);

  /// All arrivals, decayed by their age.
  double arrivals(Time now) const { return all_.at(now, timeConstant_); }

  /// The share of all arrivals that `key` has, leaving out its latest one: the request being
  /// decided on says nothing of how popular its key is. Shrunk towards 0 while few arrivals were
  /// seen.
  double shareExcludingLatest(const std::string& key, Time now) const;

 private:
  Duration timeConstant_;
  DecayingSum all_;
  std::map<std::string, DecayingSum> keys_;
};

}  // namespace inference_router::routing
