/// The properties of an instance that fleet tasks use.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::coordination {

struct FleetInstance {
  std::string role;
  std::uint32_t cell = 0;
  /// Active in the endpoint list and not excluded by an operator.
  bool serves = true;
};
/// Keyed by instance id.
using FleetInstances = std::map<std::string, FleetInstance>;

}  // namespace inference_router::coordination
