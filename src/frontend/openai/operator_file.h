/// What the operator of a small site writes down: where to listen, who may ask, and which instances
/// there are.
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

struct ApiKey {
  std::string tenant;
  std::string cls;   ///< empty: by the model
  std::string name;  ///< by which the rest of the file speaks of it; empty: none
};

struct OperatorFile {
  net::Endpoint listen;
  std::optional<net::Endpoint> admin;  ///< the admin endpoint; none: there is none
  std::uint64_t seed = 1;
  std::size_t sockets = 1024;
  double idleCloseMs = 30'000;
  double defaultMaxTokens = 1024;
  std::string instanceKey;                    ///< sent to the instances, if any
  std::map<std::string, ApiKey> keys;         ///< by the key itself
  std::map<std::string, std::string> models;  ///< name to class
  routing::wire::Setup setup;
  routing::EndpointListUpdate instances;
  upstream::InstanceDirectory directory;
  std::optional<admission::Rules> admission;  ///< none: everybody within the limit may connect
  std::optional<coordination::Setup>
      coordination;                           ///< none: this router shares nothing with others
  std::optional<shared::SharedSetup> shared;  ///< none: no budgets, counts or health of the fleet
};

/// How many client connections may be admitted where so many descriptors may be open.
std::size_t maxAdmittedConnections(std::size_t sockets);

/// A value of the file that cannot be used.
class OperatorFileError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

/// Throws OperatorFileError, std::invalid_argument, json::exception or wire::Malformed, with a text
/// that the operator understands.
OperatorFile operatorFileOf(const nlohmann::json& file);

}  // namespace inference_router::frontend
