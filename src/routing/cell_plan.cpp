#include "routing/cell_plan.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "routing/constants.h"
#include "routing/stable_hash.h"

namespace inference_router::routing {
namespace {

// Minimum share of all prefills for a cell, as a multiple of its share of the prefill weight.
constexpr double kMinPrefillShare = 0.5;
// Maximum share of all prefills for a cell, as a multiple of its share of the prefill weight.
constexpr double kMaxPrefillShare = 1.25;

}  // namespace

void CellPlan::update(const InstanceMap& instances, const Settings& settings, Time now) {
  cells_.clear();
  const ByRole warmWeight = addUpWeights(instances, settings, now);
  for (std::size_t i = 0; i < kRoleCount; ++i)
    maxWarmWeight_[i] = std::max(maxWarmWeight_[i], warmWeight[i]);
  distributePrefills();
}

// Returns the sum by role of weight times warm fraction.
CellPlan::ByRole CellPlan::addUpWeights(const InstanceMap& instances,
                                        const Settings& settings,
                                        Time now) {
  listedWeight_ = {};
  listedCount_ = {};
  ByRole warmWeight{};
  for (const auto& [id, instance] : instances) {
    if (!instance.isListed())
      continue;
    const std::size_t role = roleIndex(instance.role);
    const double weight = instance.endpoint.weight;
    listedWeight_[role] += weight;
    warmWeight[role] += weight * warmFraction(settings, instance, now);
    listedCount_[role] += 1;
    Cell& cell = cells_[instance.endpoint.cell];
    if (instance.role == Role::kPrefill)
      cell.prefillWeight += weight;
    if (instance.role == Role::kDecode)
      cell.decodeWeight += weight;
  }
  return warmWeight;
}

void CellPlan::distributePrefills() {
  double sum = 0;
  for (auto& [index, cell] : cells_) {
    const double evenShare =
        cell.prefillWeight / std::max(listedWeight(Role::kPrefill), kMinDivisor);
    cell.decodeShare = cell.decodeWeight / std::max(listedWeight(Role::kDecode), kMinDivisor);
    cell.prefillShare =
        std::clamp(cell.decodeShare, evenShare * kMinPrefillShare, evenShare * kMaxPrefillShare);
    sum += cell.prefillShare;
  }
  for (auto& [index, cell] : cells_)
    cell.prefillShare /= std::max(sum, kMinDivisor);
}

// The weights of prefill instances are scaled to the total decode weight, so that they are
// comparable with those of mixed instances, which prefill what they decode.
double CellPlan::hashWeight(const Instance& instance) const {
  const double decodeWeight = listedWeight(Role::kDecode);
  if (instance.role == Role::kMixed || decodeWeight <= 0)
    return std::max(kMinDivisor, instance.endpoint.weight);
  const Cell& cell = cells_.at(instance.endpoint.cell);
  return std::max(kMinDivisor, decodeWeight * cell.prefillShare * instance.endpoint.weight /
                                   std::max(kMinDivisor, cell.prefillWeight));
}

// Stays in the prefill cell with probability decodeShare / prefillShare. Otherwise selects, by
// rendezvous hashing, one of the cells whose decode share exceeds their prefill share, weighted by
// the difference.
CellIndex CellPlan::decodeCell(const RequestId& request, CellIndex prefillCell) const {
  const auto ownCell = cells_.find(prefillCell);  // end() if none of its instances is listed
  if (ownCell != cells_.end() &&
      stableDraw(request.value, "near") <
          ownCell->second.decodeShare / std::max(ownCell->second.prefillShare, kMinDivisor))
    return prefillCell;
  CellIndex best = prefillCell;
  double lowestScore = HUGE_VAL;
  for (const auto& [index, cell] : cells_) {
    const double spareShare = cell.decodeShare - cell.prefillShare;
    if (spareShare <= 0)
      continue;
    const double score =
        -std::log(stableDraw(request.value, std::to_string(index.value))) / spareShare;
    if (score >= lowestScore)
      continue;
    lowestScore = score;
    best = index;
  }
  return best;
}

double CellPlan::maxListedWeight() const {
  return *std::max_element(listedWeight_.begin(), listedWeight_.end());
}

}  // namespace inference_router::routing
