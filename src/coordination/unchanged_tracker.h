/// Measures for how long documents have not changed, by this process's own clock and from when it
/// first looked: a measured time is never too long. No clock of another machine is read.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::coordination {

class UnchangedTracker {
 public:
  /// For how many milliseconds the named object has had this revision.
  double unchangedMs(const std::string& name, std::uint64_t revision, double nowMs) {
    Observation& observed =
        observations_.try_emplace(name, Observation{revision, nowMs}).first->second;
    if (observed.revision != revision)
      observed = {revision, nowMs};
    return nowMs - observed.sinceMs;
  }
  /// Forgets all objects whose name fulfils the condition.
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
