#include "shared/remote_health.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <cmath>
#include <random>
#include <tuple>

namespace dahliastall::shared {

namespace {

// The same at every conductor: a sum and a generator that are both written down in standards.
std::uint_fast32_t drawFor(const std::string& box, const std::string& node, std::uint64_t turn) {
  const std::string text = box + '\n' + node + '\n' + std::to_string(turn);
  boost::crc_32_type sum;
  sum.process_bytes(text.data(), text.size());
  return std::minstd_rand(sum.checksum())();
}

}  // namespace

const char* nameOf(Availability availability) {
  constexpr std::array<const char*, 7> kNames{"in",    "out",       "own_word", "trial",
                                              "bound", "not_heard", "operator"};
  return kNames[static_cast<std::size_t>(availability)];
}

std::size_t maxExcluded(std::size_t boxes, double share) {
  if (boxes <= 1) return 0;
  return std::min(boxes - 1, static_cast<std::size_t>(std::floor(static_cast<double>(boxes) * share + 1e-9)));
}

std::string probingNode(const std::string& box, std::uint64_t sequence, std::uint64_t probeDigests,
                        const std::vector<std::string>& nodes) {
  const std::uint64_t turn = sequence / std::max<std::uint64_t>(1, probeDigests);
  const auto best =
      std::max_element(nodes.begin(), nodes.end(), [&](const std::string& node, const std::string& other) {
        return std::pair(drawFor(box, node, turn), node) < std::pair(drawFor(box, other, turn), other);
      });
  return best == nodes.end() ? std::string() : *best;
}

std::map<std::string, Availability> availabilities(const RemoteHealthInput& input, double nowMs) {
  std::map<std::string, Availability> decisions;
  struct Group {
    std::size_t boxes = 0, out = 0;
  };
  std::map<std::string, Group> roles;
  std::map<std::pair<std::string, std::uint32_t>, Group> cells;
  for (const auto& [id, box] : input.boxes) {
    for (Group* group : {&roles[box.role], &cells[{box.role, box.cell}]}) {
      ++group->boxes;
      group->out += !box.serves;
    }
    decisions[id] = box.serves ? Availability::kInUse : Availability::kOperator;
  }
  // What most witnesses speak against goes first, in the same order at every conductor.
  std::vector<std::tuple<double, double, std::string>> candidates;
  for (const auto& [id, verdict] : input.verdicts) {
    const auto box = input.boxes.find(id);
    if (verdict.out && box != input.boxes.end() && box->second.serves)
      candidates.emplace_back(-static_cast<double>(verdict.bad), -verdict.evidence, id);
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [votes, evidence, id] : candidates) {
    Availability& availability = decisions[id];
    const KnownInstance& box = input.boxes.at(id);
    Group &role = roles[box.role], &cell = cells[{box.role, box.cell}];
    if (!input.connected) {
      availability = Availability::kDisconnected;
      continue;
    }
    if (role.out >= maxExcluded(role.boxes, input.maxExcludedShare) ||
        cell.out >= maxExcluded(cell.boxes, input.maxExcludedShare)) {
      availability = Availability::kExclusionLimit;
      continue;
    }
    // Its place within the bound is taken at every conductor alike, whoever tries it.
    ++role.out;
    ++cell.out;
    availability = Availability::kExcluded;
    if (input.own.recentlyHealthy(id, nowMs)) availability = Availability::kLocallyHealthy;
    else if (probingNode(id, input.sequence, input.probeDigests, input.nodes) == input.self)
      availability = Availability::kProbing;
  }
  return decisions;
}

}  // namespace dahliastall::shared
