/// The settings of a JSON configuration, read by the code that reads the simulator's: the object is
/// laid out as the path=value pairs of its first message, which carry the same names.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "settings_parser.h"

namespace inference_router::frontend {

/// Settings that can be read and not be used.
class SettingsError : public std::invalid_argument {
 public:
  explicit SettingsError(const std::string& problem)
      : std::invalid_argument("unusable settings: " + problem) {}
};

/// Throws wire::Malformed or SettingsError, whose text an operator understands.
routing::wire::Setup settingsOf(const nlohmann::json& settings);

}  // namespace inference_router::frontend
