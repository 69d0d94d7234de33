#include "coordination/machine_clock.h"

#include <chrono>
#include <ctime>
#include <fstream>

namespace inference_router::coordination {

MachineClock machineClock() {
  MachineClock clock;
  clock.monotonicMs = [] {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) * 1000 + static_cast<double>(now.tv_nsec) / 1e6;
  };
  clock.unixMs = [] {
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::milli>(sinceEpoch).count();
  };
  std::ifstream("/proc/sys/kernel/random/boot_id") >> clock.bootId;
  return clock;
}

}  // namespace inference_router::coordination
