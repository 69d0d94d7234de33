/// Tells operators whether the endpoint list is confirmed by discovery: since when it is not, why,
/// and what is tried next.
#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "frontend/platform/discovery.h"

namespace inference_router::app {

/// Logs and counts the states of the endpoint list. Clock and counters must outlive it.
class DiscoveryMonitor {
 public:
  DiscoveryMonitor(const core::Clock& clock, core::Counters& counters);
  void observe(const frontend::DiscoveryStatus& status);

 private:
  void count(const frontend::DiscoveryStatus& status);

  const core::Clock& clock_;
  core::Counters& counters_;
  std::optional<fleet::ListDoubt> reason_;  // as observed last
  double unconfirmedSinceMs_;
  double countedMs_;  // up to here unconfirmed time is counted
  double loggedMs_;
};

/// One line: the state of the list, since when, and what is tried next.
std::string describe(const frontend::DiscoveryStatus& status, double nowMs);

}  // namespace inference_router::app
