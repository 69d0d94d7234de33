/// Clocks that all processes on one machine share.
#pragma once

#include <functional>
#include <string>

namespace inference_router::coordination {

struct MachineClock {
  /// Never adjusted, includes time that the machine was suspended, and restarts at each boot.
  std::function<double()> monotonicMs;
  std::function<double()> unixMs;
  /// Identifies the machine's current boot.
  std::string bootId;
};

MachineClock machineClock();

}  // namespace inference_router::coordination
