// The one registry of counters: what the program took in, sent and answered.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::core {

class Counters {
 public:
  // The reference stays good as long as the registry.
  std::uint64_t& operator[](const std::string& name) { return values_[name]; }
  const std::map<std::string, std::uint64_t>& all() const { return values_; }

 private:
  std::map<std::string, std::uint64_t> values_;
};

}  // namespace inference_router::core
