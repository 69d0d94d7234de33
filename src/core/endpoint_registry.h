/// Keeps what the endpoint list last said of each instance. Belongs to one thread.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/request_permits.h"
#include "inference_router/router.h"

namespace inference_router::core {

class EndpointRegistry {
 public:
  /// To be called before all else, and again with later settings.
  void configure(const routing::Settings& settings);

  /// Takes in an endpoint list update that came now. An update that failed changes nothing.
  void apply(const routing::EndpointListUpdate& update, double nowMs);

  /// What is known of an instance; null if the list never named it, or it was removed so long ago
  /// that nothing may go to it any more. Valid until the next apply().
  const InstanceFacts* find(const routing::InstanceId& instance) const;
  std::size_t size() const { return endpoints_.size(); }

 private:
  struct Endpoint {
    InstanceFacts facts;
    bool removed = false;
  };

  static void markDraining(Endpoint& endpoint, bool removed, double nowMs);
  void markUnnamedRemoved(const std::vector<routing::EndpointRecord>& named, double nowMs);
  void applyRecord(const routing::EndpointRecord& record, double nowMs);
  void forgetRemoved(double nowMs);

  double drainGraceMs_ = 0;
  std::vector<bool> isPrefillKind_;  // by KindIndex
  std::map<routing::InstanceId, Endpoint> endpoints_;
};

}  // namespace inference_router::core
