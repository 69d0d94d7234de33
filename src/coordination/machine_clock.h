/// The clock that all processes of one machine share.
#pragma once

#include <functional>
#include <string>

namespace inference_router::coordination {

struct MachineClock {
  /// Never set, and goes on while the machine sleeps; starts anew with each boot.
  std::function<double()> monotonicMs;
  std::function<double()> unixMs;
  /// Identifies the machine's present boot.
  std::string bootId;
};

MachineClock machineClock();

}  // namespace inference_router::coordination
