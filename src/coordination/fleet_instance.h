/// An instance as tasks of the whole fleet see it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::coordination {

struct FleetInstance {
  std::string role;
  std::uint32_t cell = 0;
  /// Listed as active, and not excluded by an operator.
  bool serves = true;
};
/// By the instance's id.
using FleetInstances = std::map<std::string, FleetInstance>;

}  // namespace inference_router::coordination
