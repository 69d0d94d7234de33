/// Carries out the fleet's maintenance plan in one router: what the plan drains gets nothing new.
#pragma once

#include <optional>
#include <string>

#include "app/server.h"
#include "coordination/plan.h"
#include "coordination/store.h"
#include "coordination/task.h"

namespace inference_router::app {

/// Belongs to the thread of the server's loop.
class PlanFollower {
 public:
  explicit PlanFollower(Server& server) : server_(server) {}

  /// Takes over the drains of the plan in the store. A plan that cannot be read, or that is behind
  /// what was carried out before, is not followed: its store went back, or somebody wrote it who
  /// may not.
  void apply(const coordination::View& view);
  /// The plan that was followed last; nothing if there is none.
  const std::optional<coordination::Plan>& plan() const { return plan_; }
  /// The plan and its items, a line each. storeRead: whether the view is recent.
  std::string report(const coordination::View& view, bool storeRead) const;

 private:
  bool isBehind(const coordination::Plan& plan) const;
  void refuse(const coordination::Plan& plan);
  void drainInstances();

  Server& server_;
  std::optional<coordination::Plan> plan_;
  bool refusalLogged_ = false;
};

}  // namespace inference_router::app
