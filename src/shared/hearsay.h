// Which boxes a conductor leaves out because others found them bad: within bounds that hold whatever is said,
// and with one conductor at a time to try each. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/maintenance.h"
#include "shared/sights.h"

namespace dahliastall::shared {

// serves: not out by an operator or a maintenance, which go before all that is said.
using KnownBox = coordination::FleetBox;

// How many of so many boxes may be left out, those that an operator has out counted in: never all.
std::size_t mostOutOf(std::size_t boxes, double share);

// Who tries a box that is left out, at this digest: the same for all, and each in its turn.
std::string trierOf(const std::string& box, std::uint64_t beat, std::uint64_t trialBeats,
                    const std::vector<std::string>& nodes);

enum class Standing : std::uint8_t {
  kIn,        // nobody leaves it out
  kOut,       // the fleet leaves it out, and so does this conductor
  kOwnWord,   // the fleet does; this conductor had a good answer lately
  kTrial,     // the fleet does; it is this conductor's turn to try
  kBound,     // the fleet would, but too much of its role or cell is out already
  kNotHeard,  // the fleet did, when this conductor last heard
  kOperator,  // an operator or a maintenance has it out
};
const char* nameOf(Standing standing);

struct HearsayInput {
  const std::map<std::string, Judged>& judged;
  const std::map<std::string, KnownBox>& boxes;
  const Sights& own;
  const std::vector<std::string>& nodes;  // that speak
  std::string self;
  std::uint64_t beat = 0;
  bool heard = true;  // this conductor is connected, or late by a little
  double mostOut = 0.34;
  std::uint64_t trialBeats = 3;
};

std::map<std::string, Standing> standings(const HearsayInput& input, double nowMs);

}  // namespace dahliastall::shared
