#include "shared/remote_health.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <cmath>
#include <random>
#include <tuple>

namespace inference_router::shared {

namespace {

// A pseudo-random rank (rendezvous hashing) that is the same at every router, as the checksum and
// the generator are both standardised.
std::uint_fast32_t probeRank(const std::string& instance,
                             const std::string& node,
                             std::uint64_t turn) {
  const std::string text = instance + '\n' + node + '\n' + std::to_string(turn);
  boost::crc_32_type checksum;
  checksum.process_bytes(text.data(), text.size());
  return std::minstd_rand(checksum.checksum())();
}

}  // namespace

const char* nameOf(Availability availability) {
  constexpr std::array<const char*, 7> kNames{"in",    "out",       "own_word", "trial",
                                              "bound", "not_heard", "operator"};
  return kNames[static_cast<std::size_t>(availability)];
}

std::size_t maxExcluded(std::size_t instances, double share) {
  if (instances <= 1)
    return 0;
  return std::min(instances - 1, static_cast<std::size_t>(
                                     std::floor(static_cast<double>(instances) * share + 1e-9)));
}

std::string probingNode(const std::string& instance,
                        std::uint64_t sequence,
                        std::uint64_t probeDigests,
                        const std::vector<std::string>& nodes) {
  const std::uint64_t turn = sequence / std::max<std::uint64_t>(1, probeDigests);
  const auto best = std::max_element(nodes.begin(), nodes.end(),
                                     [&](const std::string& node, const std::string& other) {
                                       return std::pair(probeRank(instance, node, turn), node) <
                                              std::pair(probeRank(instance, other, turn), other);
                                     });
  return best == nodes.end() ? std::string() : *best;
}

namespace {

// A role within a cell, which has its own exclusion limit.
struct CellRole {
  std::string role;
  std::uint32_t cell = 0;
  auto operator<=>(const CellRole&) const = default;
};

// The instances to which an exclusion limit applies.
struct Group {
  std::size_t instances = 0, excluded = 0;
  bool atLimit(double maxExcludedShare) const {
    return excluded >= maxExcluded(instances, maxExcludedShare);
  }
};

// An instance that the fleet's verdict excludes.
struct ExclusionCandidate {
  std::uint32_t votes = 0;
  double evidence = 0;
  std::string id;
};

// Orders by most votes, then by most evidence, so that the order is the same at every router.
bool hasPriority(const ExclusionCandidate& one, const ExclusionCandidate& other) {
  return std::tie(other.votes, other.evidence, one.id) <
         std::tie(one.votes, one.evidence, other.id);
}

std::vector<ExclusionCandidate> candidatesIn(const RemoteHealthInput& input) {
  std::vector<ExclusionCandidate> candidates;
  for (const auto& [id, verdict] : input.verdicts) {
    const auto instance = input.instances.find(id);
    if (verdict.excluded && instance != input.instances.end() && instance->second.serves)
      candidates.push_back({verdict.unhealthyVotes, verdict.evidence, id});
  }
  std::sort(candidates.begin(), candidates.end(), hasPriority);
  return candidates;
}

// The availability of an instance that the fleet excludes within the limits.
Availability excludedOrProbed(const RemoteHealthInput& input, const std::string& id, double nowMs) {
  if (input.own.recentlyHealthy(id, nowMs))
    return Availability::kLocallyHealthy;
  const bool probing =
      probingNode(id, input.sequence, input.probeDigests, input.nodes) == input.self;
  return probing ? Availability::kProbing : Availability::kExcluded;
}

}  // namespace

std::map<std::string, Availability> availabilities(const RemoteHealthInput& input, double nowMs) {
  std::map<std::string, Availability> decisions;
  std::map<std::string, Group> roles;
  std::map<CellRole, Group> cells;
  for (const auto& [id, instance] : input.instances) {
    for (Group* group : {&roles[instance.role], &cells[{instance.role, instance.cell}]}) {
      ++group->instances;
      group->excluded += !instance.serves;
    }
    decisions[id] = instance.serves ? Availability::kInUse : Availability::kOperator;
  }
  for (const ExclusionCandidate& candidate : candidatesIn(input)) {
    Availability& availability = decisions[candidate.id];
    const KnownInstance& instance = input.instances.at(candidate.id);
    Group& role = roles[instance.role];
    Group& cell = cells[{instance.role, instance.cell}];
    if (!input.connected) {
      availability = Availability::kDisconnected;
      continue;
    }
    if (role.atLimit(input.maxExcludedShare) || cell.atLimit(input.maxExcludedShare)) {
      availability = Availability::kExclusionLimit;
      continue;
    }
    // The instance counts towards the limits at every router, including the one that probes it.
    ++role.excluded;
    ++cell.excluded;
    availability = excludedOrProbed(input, candidate.id, nowMs);
  }
  return decisions;
}

}  // namespace inference_router::shared
