/// Measures what an outage of discovery costs a fleet: when each router has the list after the
/// return, and the calls, bytes and connections until then.
#pragma once

#include <string>

#include "plan.h"
#include "router_process.h"

namespace inference_router::soak {

/// What the routers do as discovery goes out of reach.
enum class OutageStart {
  kMove,    ///< they are told of a new address, which is out of reach
  kLoss,    ///< their watches end
  kSilence  ///< their watches fall silent
};
/// Throws std::invalid_argument for a name other than move, loss and silence.
OutageStart outageStartNamed(const std::string& name);

struct OutageOptions {
  int routers = 24;
  OutageStart start = OutageStart::kLoss;
  DiscoveryFault way = DiscoveryFault::kSilent;
  double forMs = 6'500;
  DiscoveryLoad load;
};

/// Plays one outage without clients and prints a line. folder: empty, for the logs.
void reportOutage(const OutageOptions& options,
                  const Programs& programs,
                  const std::string& folder);

}  // namespace inference_router::soak
