/// Measures for how long documents have not changed, by this process's clock and from its first
/// observation of the revision. A measured time is never too long, and does not depend on the
/// clocks of other machines.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::coordination {

class UnchangedTracker {
 public:
  /// Records the object's revision, and returns for how many milliseconds it has been the same.
  double unchangedMs(const std::string& name, std::uint64_t revision, double nowMs) {
    Observation& observation =
        observations_.try_emplace(name, Observation{revision, nowMs}).first->second;
    if (observation.revision != revision)
      observation = {revision, nowMs};
    return nowMs - observation.sinceMs;
  }
  /// Removes the observations of all objects whose name satisfies the condition.
  template <class Condition>
  void forgetIf(const Condition& condition) {
    std::erase_if(observations_, [&](const auto& entry) { return condition(entry.first); });
  }

 private:
  struct Observation {
    std::uint64_t revision;
    double sinceMs;
  };
  std::map<std::string, Observation> observations_;
};

}  // namespace inference_router::coordination
