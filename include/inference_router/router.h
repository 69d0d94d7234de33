// The whole interface of the decision module: settings are handed in once, events in, actions out.
//
// A Router decides for one node of the routing tier. It owns no thread, clock or socket: the time
// comes with each event and every random draw from the seed. Nothing here has a default that tunes
// a decision. All durations are in microseconds; no call blocks or throws, but for lack of memory.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "inference_router/actions.h"
#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// Decides for one node. Not safe for use by several threads at once.
///
/// Settings that validate() names give a Router that fails every arrival at once and says why in
/// its log; an arrival of an unknown class is failed, too. Entries of an unknown kind are left out
/// of the endpoint list. An arrival of a request that is held already, and any other event for one
/// that is not held, are ignored.
class Router {
 public:
  /// `seed` is the source of all random draws; nodes should differ in it.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event and appends the actions that follow from it, in the order in which they are
  /// to be done. Events at the same time are handed over in the order in which they came; `now`
  /// must not go back. The actions of the start itself come with the first event.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  /// Replaces the settings. Classes, tenants and kinds keep their places; more may follow them.
  void reconfigure(const Settings& settings);

  /// Whether an instance that is listed is sent no requests for now, as it is ejected or silent.
  bool avoids(Time now, const InstanceId& instance) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace inference_router::routing
