/// The configuration file of a small site: where to listen, which API keys are accepted, and which
/// instances there are.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "admission/rules.h"
#include "coordination/setup.h"
#include "settings_parser.h"
#include "shared/setup.h"
#include "upstream/instance_directory.h"

namespace inference_router::frontend {

/// What is configured for one API key.
struct ApiKey {
  std::string tenant;
  std::string cls;   ///< empty: the class of the requested model
  std::string name;  ///< how the rest of the file refers to the key; empty: none
};

/// The parsed file.
struct OperatorFile {
  net::Endpoint listen;
  std::optional<net::Endpoint> admin;  ///< none: no admin endpoint
  std::uint64_t seed = 1;
  std::size_t sockets = 1024;
  double idleCloseMs = 30'000;
  double defaultMaxTokens = 1024;
  std::string instanceKey;                    ///< sent to the instances; empty: none
  std::map<std::string, ApiKey> keys;         ///< by the key itself
  std::map<std::string, std::string> models;  ///< class by model name
  routing::wire::Setup setup;
  routing::EndpointListUpdate instances;
  upstream::InstanceDirectory directory;
  std::optional<admission::Rules>
      admission;  ///< none: all connections within the limit are admitted
  std::optional<coordination::Setup>
      coordination;                           ///< none: this router does not coordinate with others
  std::optional<shared::SharedSetup> shared;  ///< none: no fleet-wide budgets, counts or health
};

/// The maximum number of client connections if `sockets` descriptors may be open.
std::size_t maxAdmittedConnections(std::size_t sockets);

/// Thrown for an invalid value in the file.
class OperatorFileError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

/// Parses and validates the file. Throws OperatorFileError, std::invalid_argument, json::exception
/// or wire::Malformed with a message for the operator.
OperatorFile operatorFileOf(const nlohmann::json& file);

}  // namespace inference_router::frontend
