/// The fleet's instances as this process sees them, and random numbers for incarnations: what
/// Coordinator and SharedStateService have in common.
#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "app/server.h"
#include "coordination/fleet_instance.h"

namespace inference_router::app {

/// A number that tells one run of a process from all others under the same name.
inline std::uint64_t randomIncarnation() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 20) ^ source();
}

/// The listed instances by id. One that only a maintenance plan drains still counts as serving.
inline coordination::FleetInstances fleetInstances(const fleet::Membership& members,
                                                   const routing::Settings& settings) {
  constexpr std::array<const char*, 3> kRoleNames{"read", "write", "both"};
  coordination::FleetInstances instances;
  for (const auto& [id, entry] : members.listed()) {
    coordination::FleetInstance& instance = instances[id.value];
    instance.role = kRoleNames.at(static_cast<std::size_t>(settings.kinds[entry.kind.value].role));
    instance.cell = entry.cell.value;
    instance.serves = entry.state == routing::EndpointState::kActive && !members.excluded(id);
  }
  return instances;
}

}  // namespace inference_router::app
