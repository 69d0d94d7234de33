/// Reads the settings from a JSON configuration. The object is converted to the path=value pairs of
/// the simulator's setup message, which use the same names, and then read by the same parser.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "settings_parser.h"

namespace inference_router::frontend {

/// Thrown for settings that can be parsed but are invalid.
class SettingsError : public std::invalid_argument {
 public:
  explicit SettingsError(const std::string& problem)
      : std::invalid_argument("unusable settings: " + problem) {}
};

/// Converts a JSON object to validated settings. Throws wire::Malformed or SettingsError with a
/// message for the operator.
routing::wire::Setup settingsOf(const nlohmann::json& settings);

}  // namespace inference_router::frontend
