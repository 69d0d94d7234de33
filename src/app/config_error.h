/// What is wrong with what an operator or the platform gave.
#pragma once

#include <stdexcept>
#include <string>

namespace inference_router::app {

/// Where a configuration comes from.
enum class ConfigInput {
  kCommandLine,
  kEnvironment,
  kFile,
  kSystem,  ///< limits that the system sets to what was configured
};

/// A configuration that cannot be used. what() is the whole text for the operator.
class ConfigError : public std::runtime_error {
 public:
  /// key: the option, the variable or the path within the file; empty if the fault concerns the
  /// whole input.
  ConfigError(ConfigInput input, std::string key, const std::string& reason)
      : std::runtime_error(reason), input_(input), key_(std::move(key)) {}

  ConfigInput input() const { return input_; }
  const std::string& key() const { return key_; }

 private:
  ConfigInput input_;
  std::string key_;
};

}  // namespace inference_router::app
