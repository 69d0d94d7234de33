// Entry point of the decision module: it is configured once, then maps events to actions.
//
// A Router decides for one node of the routing tier. It owns no thread, clock or socket: the
// current time comes with each event, and all randomness is derived from the seed. No setting that
// influences a decision has a default. All durations are in microseconds. No call blocks or throws,
// except when memory is exhausted.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "inference_router/actions.h"
#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/slow_start_totals.h"
#include "inference_router/types.h"

namespace inference_router::routing {

/// Decides for one node. Not thread-safe.
///
/// With settings that validate() rejects, the Router fails every arrival immediately and logs the
/// reason. An arrival of an unknown class is failed, too. Endpoint list entries of an unknown kind
/// are ignored, and so are an arrival of a request that is already known and any other event for an
/// unknown request.
class Router {
 public:
  /// `seed` determines all random draws; each node should use a different one.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event and appends the resulting actions in the order in which they are to be
  /// executed. Events with the same time are passed in order of arrival; `now` must not decrease.
  /// The actions for the start of the router are emitted with the first event.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  /// Replaces the settings. Existing classes, tenants and kinds keep their indices; new ones may be
  /// appended.
  void reconfigure(const Settings& settings);

  /// Whether a listed instance currently gets no requests because it is ejected or silent.
  bool avoids(Time now, const InstanceId& instance) const;

  /// What was sent to instances in slow start, and what was not.
  const SlowStartTotals& slowStartTotals() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace inference_router::routing
