// The settings of a JSON configuration, read by the code that reads the simulator's: the object is
// laid out as the path=value pairs of its first message, which carry the same names.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "settings_parser.h"

namespace inference_router::frontend {

std::string pairsOf(const nlohmann::json& settings, const std::string& seed);

// Throws wire::Malformed or std::invalid_argument, with a plain complaint.
routing::wire::Setup settingsOf(const nlohmann::json& settings);

}  // namespace inference_router::frontend
