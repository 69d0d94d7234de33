// Distributes prefills and decodes over the cells of a site.
#pragma once

#include <array>
#include <map>

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"

namespace inference_router::routing {

/// Index of a role in an array with one element per role.
constexpr std::size_t roleIndex(Role role) {
  return static_cast<std::size_t>(role);
}
/// Number of roles.
constexpr std::size_t kRoleCount = 3;

/// Assigns each cell its share of all prefills. Transferring a KV cache within a cell is cheap, so
/// a cell should prefill as much as its own decode instances can decode, within bounds given by its
/// prefill capacity. The remaining requests are decoded in cells with spare decode capacity. The
/// plan depends on the endpoint list only, so all nodes compute the same plan.
class CellPlan {
 public:
  /// Recomputes the plan for the listed instances.
  void update(const InstanceMap& instances, const Settings& settings, Time now);

  /// Weight of an instance in the rendezvous hashing of prefills. The instance must have been
  /// listed at the last update().
  double hashWeight(const Instance& instance) const;

  /// The cell that is to decode a request prefilled in `prefillCell`. Drawn from the request's id,
  /// so that the planned share of the requests leaves the cell.
  CellIndex decodeCell(const RequestId& request, CellIndex prefillCell) const;

  /// Sum of the weights of the listed instances with that role.
  double listedWeight(Role role) const { return listedWeight_[roleIndex(role)]; }

  /// Number of listed instances with that role.
  double listedCount(Role role) const { return listedCount_[roleIndex(role)]; }

  /// The largest sum of weight times warm fraction that any update() has found for the role.
  double maxWarmWeight(Role role) const { return maxWarmWeight_[roleIndex(role)]; }

  /// The largest listedWeight() over all roles.
  double maxListedWeight() const;

 private:
  struct Cell {
    double prefillWeight = 0;  ///< total weight of its prefill instances
    double decodeWeight = 0;   ///< total weight of its decode instances
    double prefillShare = 0;   ///< its planned share of all prefills
    double decodeShare = 0;    ///< its share of all decodes
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
