// How prefills and decodes are spread over the cells of a site.
#pragma once

#include <array>
#include <map>

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"

namespace inference_router::routing {

/// Index of a role in an array by role.
constexpr std::size_t roleIndex(Role role) {
  return static_cast<std::size_t>(role);
}
constexpr std::size_t kRoleCount = 3;

/// Plans the share of all prefills that each cell does. Moving a KV cache within a cell is cheap,
/// so a cell should prefill what its own decode instances can decode, within bounds of its prefill
/// instances; the rest moves to the cells that have decode capacity to spare. The plan follows from
/// the endpoint list alone, so all nodes compute the same.
class CellPlan {
 public:
  /// Computes the plan anew for the instances that are listed.
  void update(const InstanceMap& instances, const Settings& settings, Time now);

  /// The weight of an instance in rendezvous hashing of prefills. It must have been listed at the
  /// last update().
  double hashWeight(const Instance& instance) const;

  /// The cell that is to decode a request that was prefilled in `prefillCell`. Drawn by the id of
  /// the request, so that the planned part of the requests leaves the cell.
  CellIndex decodeCell(const RequestId& request, CellIndex prefillCell) const;

  /// Sum of the weights of the listed instances of that role.
  double listedWeight(Role role) const { return listedWeight_[roleIndex(role)]; }

  /// Number of listed instances of that role.
  double listedCount(Role role) const { return listedCount_[roleIndex(role)]; }

  /// The largest sum of weights, each times the warm fraction, that any update() found for the
  /// role.
  double maxWarmWeight(Role role) const { return maxWarmWeight_[roleIndex(role)]; }

  /// The largest listedWeight() of all roles.
  double maxListedWeight() const;

 private:
  struct Cell {
    double prefillWeight = 0;  ///< of its prefill instances
    double decodeWeight = 0;   ///< of its decode instances
    double prefillShare = 0;   ///< of all prefills that it is to do
    double decodeShare = 0;    ///< of all decodes that it is to do
  };
  using ByRole = std::array<double, kRoleCount>;

  ByRole addUpWeights(const InstanceMap& instances, const Settings& settings, Time now);
  void distributePrefills();

  std::map<CellIndex, Cell> cells_;
  ByRole listedWeight_{};
  ByRole listedCount_{};
  ByRole maxWarmWeight_{};
};

}  // namespace inference_router::routing
