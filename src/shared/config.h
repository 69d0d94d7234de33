/// Settings of shared state, from the operator's file. Durations in milliseconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "shared/budget.h"
#include "shared/connectivity.h"
#include "shared/health_observation.h"

namespace inference_router::shared {

/// Safety checks that tests switch off one by one, to show that their absence is detected.
struct SharedGuards {
  bool chargeCeiling = true;  ///< an evicted router is charged its whole ceiling
  /// A new lease holder, or one that detected a rollback, lends nothing at first.
  bool waitBeforeLending = true;
  bool credibleOnly = true;  ///< observations of non-credible witnesses are ignored
};

/// All settings of shared state.
struct SharedConfig {
  double reportMs = 1'000;              ///< between two reports of a router in a small fleet
  double reportPerNodeMs = 20;          ///< added for each router in the fleet
  double digestMs = 1'000;              ///< between two digests
  double evictAfterMs = 30'000;         ///< a router whose part is unchanged for so long is evicted
  double evictReplacedAfterMs = 3'000;  ///< the same for an incarnation that has a successor
  double silentMs = 10'000;             ///< from the last report until a router counts as silent
  double periodMs = 86'400'000;         ///< of all budgets, aligned to the Unix epoch
  std::map<std::string, std::uint64_t> budgets;  ///< tokens per period, by tenant
  /// The largest share of a role, and of a role within a cell, that may be excluded.
  double maxExcludedShare = 0.34;
  std::uint64_t probeDigests = 3;  ///< digests until another router probes an instance
  SharedGuards guards;
  BudgetConfig budget;
  ObservationConfig observations;
  VerdictConfig verdict;
  ConnectivityConfig connectivity;

  /// The time between two reports. It grows with the fleet, but always allows two reports before a
  /// router counts as silent or as isolated.
  double reportIntervalMs(std::size_t routers) const {
    return std::max(reportMs, std::min(reportMs + reportPerNodeMs * static_cast<double>(routers),
                                       std::min(silentMs, connectivity.isolatedMs) / 2));
  }
};

}  // namespace inference_router::shared
