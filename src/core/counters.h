/// The registry of the process's event counters. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::core {

/// Counters by name, each created with 0 at its first use.
class Counters {
 public:
  /// The counter of this name. The reference is valid as long as the registry exists.
  std::uint64_t& operator[](const std::string& name) { return values_[name]; }
  /// All counters, ordered by name.
  const std::map<std::string, std::uint64_t>& all() const { return values_; }

 private:
  std::map<std::string, std::uint64_t> values_;
};

}  // namespace inference_router::core
