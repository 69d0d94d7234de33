/// A configuration file that may change while the program runs.
#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "app/config.h"

namespace inference_router::app {

/// Reads one file, whole, and tells whether it has changed. Configuration: what the file is parsed
/// into.
template <class Configuration>
class ConfigurationFile {
 public:
  /// Throws ConfigError if the document cannot be used.
  using Parse = std::function<Configuration(const nlohmann::json&)>;

  ConfigurationFile(std::string path, Parse parse)
      : path_(std::move(path)), parse_(std::move(parse)) {}

  /// Throws ConfigError if the file cannot be read or used.
  Configuration read() { return parse(readText(path_)); }

  /// Nothing if the text is the one that was returned last. Throws ConfigError as read() does.
  std::optional<Configuration> readIfChanged() {
    const std::string text = readText(path_);
    if (fingerprintOf(text) == fingerprint_)
      return std::nullopt;
    return parse(text);
  }

 private:
  struct Fingerprint {
    std::size_t bytes = 0, hash = 0;
    bool operator==(const Fingerprint&) const = default;
  };

  static Fingerprint fingerprintOf(const std::string& text) {
    return {text.size(), std::hash<std::string>()(text)};
  }

  Configuration parse(const std::string& text) {
    Configuration configuration = parse_(parseJson(text, path_));
    fingerprint_ = fingerprintOf(text);
    return configuration;
  }

  std::string path_;
  Parse parse_;
  Fingerprint fingerprint_;
};

}  // namespace inference_router::app
