#include "shared/hearsay.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <cmath>
#include <random>
#include <tuple>

namespace dahliastall::shared {

namespace {

// The same at every conductor: a sum and a generator that are both written down in standards.
std::uint_fast32_t drawOf(const std::string& box, const std::string& node, std::uint64_t turn) {
  const std::string text = box + '\n' + node + '\n' + std::to_string(turn);
  boost::crc_32_type sum;
  sum.process_bytes(text.data(), text.size());
  return std::minstd_rand(sum.checksum())();
}

}  // namespace

const char* nameOf(Standing standing) {
  constexpr std::array<const char*, 7> kNames{"in",    "out",       "own_word", "trial",
                                              "bound", "not_heard", "operator"};
  return kNames[static_cast<std::size_t>(standing)];
}

std::size_t mostOutOf(std::size_t boxes, double share) {
  if (boxes <= 1) return 0;
  return std::min(boxes - 1, static_cast<std::size_t>(std::floor(static_cast<double>(boxes) * share + 1e-9)));
}

std::string trierOf(const std::string& box, std::uint64_t beat, std::uint64_t trialBeats,
                    const std::vector<std::string>& nodes) {
  const std::uint64_t turn = beat / std::max<std::uint64_t>(1, trialBeats);
  const auto best =
      std::max_element(nodes.begin(), nodes.end(), [&](const std::string& a, const std::string& b) {
        return std::pair(drawOf(box, a, turn), a) < std::pair(drawOf(box, b, turn), b);
      });
  return best == nodes.end() ? std::string() : *best;
}

std::map<std::string, Standing> standings(const HearsayInput& in, double nowMs) {
  std::map<std::string, Standing> all;
  struct Group {
    std::size_t boxes = 0, out = 0;
  };
  std::map<std::string, Group> roles;
  std::map<std::pair<std::string, std::uint32_t>, Group> cells;
  for (const auto& [id, box] : in.boxes) {
    for (Group* group : {&roles[box.role], &cells[{box.role, box.cell}]}) {
      ++group->boxes;
      group->out += !box.serves;
    }
    all[id] = box.serves ? Standing::kIn : Standing::kOperator;
  }
  // What most witnesses speak against goes first, in the same order at every conductor.
  std::vector<std::tuple<double, double, std::string>> asked;
  for (const auto& [id, judged] : in.judged) {
    const auto box = in.boxes.find(id);
    if (judged.out && box != in.boxes.end() && box->second.serves)
      asked.emplace_back(-static_cast<double>(judged.bad), -judged.evidence, id);
  }
  std::sort(asked.begin(), asked.end());
  for (const auto& [witnesses, evidence, id] : asked) {
    Standing& standing = all[id];
    const KnownBox& box = in.boxes.at(id);
    Group &role = roles[box.role], &cell = cells[{box.role, box.cell}];
    if (!in.heard) {
      standing = Standing::kNotHeard;
      continue;
    }
    if (role.out >= mostOutOf(role.boxes, in.mostOut) || cell.out >= mostOutOf(cell.boxes, in.mostOut)) {
      standing = Standing::kBound;
      continue;
    }
    // Its place within the bound is taken at every conductor alike, whoever tries it.
    ++role.out;
    ++cell.out;
    standing = Standing::kOut;
    if (in.own.freshlyGood(id, nowMs)) standing = Standing::kOwnWord;
    else if (trierOf(id, in.beat, in.trialBeats, in.nodes) == in.self) standing = Standing::kTrial;
  }
  return all;
}

}  // namespace dahliastall::shared
