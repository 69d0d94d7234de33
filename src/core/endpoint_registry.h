/// The state of each instance according to the latest endpoint list updates. Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/request_permits.h"
#include "inference_router/router.h"

namespace inference_router::core {

class EndpointRegistry {
 public:
  /// Has to be called before any other function, and again when the settings change.
  void configure(const routing::Settings& settings);

  /// Applies an endpoint list update that was received at nowMs. A failed update changes nothing.
  void apply(const routing::EndpointListUpdate& update, double nowMs);

  /// What is known of an instance; null if it was never listed, or was removed so long ago that
  /// nothing may be sent to it any more. Valid until the next apply().
  const InstanceFacts* find(const routing::InstanceId& instance) const;
  std::size_t size() const { return endpoints_.size(); }

 private:
  struct Endpoint {
    InstanceFacts facts;
    bool removed = false;
  };

  static void markDraining(Endpoint& endpoint, bool removed, double sinceMs);
  void markUnlistedRemoved(const std::vector<routing::EndpointRecord>& listed,
                           double drainsSinceMs);
  void applyRecord(const routing::EndpointRecord& record, double drainsSinceMs);
  void forgetRemoved(double nowMs);

  double drainGraceMs_ = 0;
  std::vector<bool> isPrefillKind_;  // by KindIndex
  std::map<routing::InstanceId, Endpoint> endpoints_;
};

}  // namespace inference_router::core
