// Which boxes a conductor leaves out because others found them bad: within bounds that hold whatever is said,
// and with one conductor at a time to try each. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/maintenance.h"
#include "shared/health_observation.h"

namespace dahliastall::shared {

// serves: not out by an operator or a maintenance, which go before all that is said.
using KnownInstance = coordination::FleetBox;

// How many of so many boxes may be left out, those that an operator has out counted in: never all.
std::size_t maxExcluded(std::size_t boxes, double share);

// Who tries a box that is left out, at this digest: the same for all, and each in its turn.
std::string probingNode(const std::string& box, std::uint64_t sequence, std::uint64_t probeDigests,
                        const std::vector<std::string>& nodes);

enum class Availability : std::uint8_t {
  kInUse,           // nobody leaves it out
  kExcluded,        // the fleet leaves it out, and so does this conductor
  kLocallyHealthy,  // the fleet does; this conductor had a good answer lately
  kProbing,         // the fleet does; it is this conductor's turn to try
  kExclusionLimit,  // the fleet would, but too much of its role or cell is out already
  kDisconnected,    // the fleet did, when this conductor last heard
  kOperator,        // an operator or a maintenance has it out
};
const char* nameOf(Availability availability);

struct RemoteHealthInput {
  const std::map<std::string, HealthVerdict>& verdicts;
  const std::map<std::string, KnownInstance>& boxes;
  const LocalObservations& own;
  const std::vector<std::string>& nodes;  // that speak
  std::string self;
  std::uint64_t sequence = 0;
  bool connected = true;  // this conductor is connected, or late by a little
  double maxExcludedShare = 0.34;
  std::uint64_t probeDigests = 3;
};

std::map<std::string, Availability> availabilities(const RemoteHealthInput& input, double nowMs);

}  // namespace dahliastall::shared
