/// The configuration of a router on the platform.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "app/config_error.h"
#include "net/pool.h"
#include "settings_parser.h"

namespace inference_router::app {

/// How the sockets of the process are shared out. Each request takes one connection on either side;
/// files and discovery need a few descriptors too.
struct Limits {
  std::size_t sockets = 1024;
  std::size_t memoryMb = 192;  ///< over which the process is killed

  std::size_t clients() const { return (sockets - kSpare) / 2; }
  std::size_t instances() const { return sockets - kSpare - clients(); }

  /// Of the memory, for what clients and instances make the process hold.
  std::size_t requestMemoryBytes() const { return memoryBytes() / kMemoryDivisor * kRequestShare; }
  /// Of the memory, for the buffers of the kernel. The rest is for the program itself, its tables,
  /// and what the allocator cannot give back.
  std::size_t socketMemoryBytes() const { return memoryBytes() / kMemoryDivisor * kSocketShare; }

 private:
  static constexpr std::size_t kSpare = 64;
  static constexpr std::size_t kMemoryDivisor = 10, kRequestShare = 4, kSocketShare = 4;

  std::size_t memoryBytes() const { return memoryMb * 1024 * 1024; }
};

struct Config {  // NOLINT(bugprone-exception-escape): of the move constructor of `known`
  std::string name;
  net::Endpoint listen, discovery;
  std::optional<net::Endpoint> admin;            // the admin endpoint; none: there is none
  std::string sharedFolder;                      // with a process that replaces this one, or empty
  std::optional<net::Endpoint> discoveryInFile;  // which the environment may override
  std::uint64_t seed = 0;
  Limits limits;
  nlohmann::json known;  // the endpoint list to begin with; null if there is none
  routing::wire::Setup setup;
  double idleCloseMs = 30'000;  // after which instances close an idle connection
};

using Environment = std::map<std::string, std::string>;
/// variables: NAME=value each, ended by a null pointer, as in `environ`.
Environment environmentOf(const char* const* variables);

/// The content of a file. Throws ConfigError if it cannot be read.
std::string readText(const std::string& path);
/// path: named in errors. Throws ConfigError if the text is no JSON.
nlohmann::json parseJson(const std::string& text, const std::string& path);

/// GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR override what the file says. Throws
/// ConfigError.
Config configOf(const nlohmann::json& file, const Environment& environment);

}  // namespace inference_router::app
