// How shared state is kept, by an operator's file.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "shared/budget.h"
#include "shared/connectivity.h"
#include "shared/health_observation.h"

namespace dahliastall::shared {

// Guards that tests take away one by one, to see that what they guard against is then found.
struct SharedGuards {
  bool chargeCeiling = true;      // a conductor that is gone is charged all that it may have spent
  bool waitBeforeLending = true;  // a new holder, or one of a store that went back, waits before it lends
  bool credibleOnly = true;       // who finds most boxes bad is not heard
};

struct SharedConfig {
  double reportMs = 1'000;                       // between two words of a conductor, in a small fleet
  double reportPerNodeMs = 20;                   // and so much more for each conductor in it
  double digestMs = 1'000;                       // between two digests
  double goneMs = 30'000;                        // a part that has not changed for so long is folded
  double replacedMs = 3'000;                     // one whose conductor has started anew
  double silentMs = 10'000;                      // what a conductor saw counts so long after its last word
  double periodMs = 86'400'000;                  // of all budgets, from the Unix epoch on
  std::map<std::string, std::uint64_t> budgets;  // tokens in a period, by franchisee
  double maxExcludedShare = 0.34;  // share of a role, and of a role in a cell, that hearsay may leave out
  std::uint64_t probeDigests = 3;  // digests for which one conductor tries a box that is left out
  SharedGuards guards;
  BudgetConfig budget;
  ObservationConfig observations;
  VerdictConfig verdict;
  ConnectivityConfig connectivity;

  // Between two words of a conductor. However many there are, each speaks twice before it counts as silent or
  // as alone.
  double reportIntervalMs(std::size_t conductors) const {
    return std::max(reportMs, std::min(reportMs + reportPerNodeMs * static_cast<double>(conductors),
                                       std::min(silentMs, connectivity.isolatedMs) / 2));
  }
};

}  // namespace dahliastall::shared
