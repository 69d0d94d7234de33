// The instances known from the endpoint list.
#pragma once

#include <string>

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Owns the instances. Pointers to an instance stay valid until eraseRemoved() erases it.
class InstanceRegistry {
 public:
  /// `seed` makes the slow-start draws of this process differ from those of others. `settings` must
  /// outlive the registry.
  InstanceRegistry(const Settings& settings, std::string seed)
      : settings_(settings), seed_(std::move(seed)) {}

  InstanceMap& instances() { return instances_; }
  const InstanceMap& instances() const { return instances_; }

  /// Returns the instance with that id, or null if it is unknown.
  Instance* find(const InstanceId& id);

  /// Applies an update, which must not be EndpointListForm::kFailed. Instances missing from a
  /// complete list are marked as removed; entries of an unknown kind are skipped.
  void apply(const EndpointListUpdate& update, Time now);

  /// Erases instances that were removed more than a warm-up duration ago, unless a request still
  /// refers to them.
  void eraseRemoved(const RequestMap& requests, Time now);

 private:
  void applyEndpoint(const EndpointRecord& entry,
                     SlowStartNews newsOfAdded,
                     Time now,
                     Time drainsSince);

  const Settings& settings_;
  std::string seed_;
  InstanceMap instances_;
};

}  // namespace inference_router::routing
