// Injects system call faults into the test's own process for the lifetime of an object.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "../soak/system_call_faults.h"

namespace inference_router {

struct Faults {
  explicit Faults(std::vector<system_call_faults::Rule> rules) {
    system_call_faults::install(std::move(rules));
  }
  ~Faults() { system_call_faults::clear(); }
  Faults(const Faults&) = delete;
  Faults& operator=(const Faults&) = delete;
  static std::uint64_t hits() { return system_call_faults::hits(); }
  static bool happened() { return hits() > 0; }
};

}  // namespace inference_router
