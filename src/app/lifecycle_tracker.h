/// Follows the lifecycle of every listed instance, for operators to look at.
#pragma once

#include <map>
#include <string>

#include "app/server.h"
#include "fleet/lifecycle.h"

namespace inference_router::app {

/// Belongs to the thread of the server's loop.
class LifecycleTracker {
 public:
  /// setup: read whenever it is needed, as a reload may change it.
  LifecycleTracker(Server& server, const routing::wire::Setup& setup)
      : server_(server), setup_(setup) {}

  /// Updates from now on, at a fixed interval. Without it only report() does.
  void start();
  /// The current state of each instance and how it came about, a line each.
  std::string report();

 private:
  void tick();
  void update();
  void forgetRemoved();
  fleet::InstanceFacts factsOf(const routing::InstanceId& id,
                               const routing::EndpointRecord& entry) const;

  Server& server_;
  const routing::wire::Setup& setup_;
  // Of the instances that are listed, and of those that were until a while ago.
  std::map<routing::InstanceId, fleet::InstanceLifecycle> lifecycles_;
  double updatedMs_ = 0;
  core::Timer timer_;
};

}  // namespace inference_router::app
