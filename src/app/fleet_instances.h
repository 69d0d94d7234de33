// Helpers of the coordinator and the sharer: the fleet's instances as this process sees them, and
// random numbers for incarnations.
#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "app/server.h"
#include "coordination/fleet_instance.h"

namespace inference_router::app {

inline std::uint64_t freshNumber() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 20) ^ source();
}

// The listed instances, without the drains of a maintenance.
inline coordination::FleetInstances fleetInstances(const fleet::Membership& members,
                                                   const routing::Settings& settings) {
  constexpr std::array<const char*, 3> kRoles{"read", "write", "both"};
  coordination::FleetInstances found;
  for (const auto& [id, entry] : members.listed()) {
    coordination::FleetInstance& instance = found[id.value];
    instance.role = kRoles.at(static_cast<std::size_t>(settings.kinds[entry.kind.value].role));
    instance.cell = entry.cell.value;
    instance.serves = entry.state == routing::EndpointState::kActive && !members.excluded(id);
  }
  return found;
}

}  // namespace inference_router::app
