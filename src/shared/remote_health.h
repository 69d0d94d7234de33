/// Decides which instances a router excludes because of the fleet's verdicts. The number of
/// excluded instances is limited per role and per role within a cell, whatever the verdicts are.
/// Each excluded instance is probed by one router at a time. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet_instance.h"
#include "shared/health_observation.h"

namespace inference_router::shared {

/// An instance as this router knows it. serves is false if an operator or a maintenance excluded
/// it, which takes precedence over verdicts.
using KnownInstance = coordination::FleetInstance;

/// The largest number of instances that may be excluded out of `instances`, including those that an
/// operator excluded. At least one instance always stays in use.
std::size_t maxExcluded(std::size_t instances, double share);

/// The router that probes an excluded instance at this digest. Every router computes the same one;
/// it changes every `probeDigests` digests. Empty if there are no nodes.
std::string probingNode(const std::string& instance,
                        std::uint64_t sequence,
                        std::uint64_t probeDigests,
                        const std::vector<std::string>& nodes);

/// Whether this router sends to an instance, and why.
enum class Availability : std::uint8_t {
  kInUse,           ///< not excluded
  kExcluded,        ///< excluded by the fleet's verdict
  kLocallyHealthy,  ///< excluded by others, but this router had a recent success
  kProbing,         ///< excluded, and it is this router's turn to probe it
  kExclusionLimit,  ///< in use, as the limit of its role or cell is reached
  kDisconnected,    ///< in use, as this router is not connected to the fleet
  kOperator,        ///< excluded by an operator or a maintenance
};
/// The name in logs and reports.
const char* nameOf(Availability availability);

/// The input of availabilities(); references are only used during the call.
struct RemoteHealthInput {
  const std::map<std::string, HealthVerdict>& verdicts;
  const std::map<std::string, KnownInstance>& instances;
  const LocalObservations& own;
  const std::vector<std::string>& nodes;  ///< the live routers
  std::string self;
  std::uint64_t sequence = 0;
  bool connected = true;  ///< to the fleet, even if delayed
  double maxExcludedShare = 0.34;
  std::uint64_t probeDigests = 3;
};

/// The availability of each known instance, by id.
std::map<std::string, Availability> availabilities(const RemoteHealthInput& input, double nowMs);

}  // namespace inference_router::shared
