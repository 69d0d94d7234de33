// What a router on the platform is told when it starts.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "net/pool.h"
#include "settings_parser.h"

namespace inference_router::app {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Limits {
  std::size_t sockets = 1024;
  // Shares of them: each request takes one connection on either side, and files and discovery a
  // few.
  std::size_t clients() const { return (sockets - spare()) / 2; }
  std::size_t instances() const { return sockets - spare() - clients(); }

 private:
  std::size_t spare() const { return 64; }
};

struct Config {
  std::string name;
  net::Endpoint listen, discovery;
  std::optional<net::Endpoint> admin;  // the operators' door; none: there is no such door
  std::string sharedFolder;            // with a process that replaces this one; empty: none
  std::optional<net::Endpoint> discoveryInFile;  // which may differ from what the environment says
  std::uint64_t seed = 0;
  Limits limits;
  nlohmann::json known;
  routing::wire::Setup setup;
  double idleCloseMs = 30'000;
};

using Environment = std::map<std::string, std::string>;
Environment environmentOf(const char* const* variables);

nlohmann::json readJson(const std::string& path);

// GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR come before what the file says. Throws
// ConfigError.
Config configOf(const nlohmann::json& file, const Environment& environment);

}  // namespace inference_router::app
