// Admission settings that several tests use.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "admission/rules.h"

namespace inference_router {

inline admission::Address at(const std::string& text) {
  return *admission::Address::parse(text);
}

// The object `admission` of an operator's file: 100 connections, of which 20 are reserved
// for known clients.
inline nlohmann::json file() {
  return {{"connections", {{"total", 100}, {"per_address", 10}}},
          {"rate", {{"per_second", 5}, {"burst", 20}}},
          {"known", {{"reserve", 20}, {"ranges", {"127.0.1.0/24"}}, {"keys", {"desk"}}}}};
}

}  // namespace inference_router
