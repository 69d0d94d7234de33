#include "app/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <stdexcept>
#include <string_view>

#include "core/document_reader.h"
#include "frontend/settings_json.h"
#include "upstream/instance_directory.h"

namespace inference_router::app {

using nlohmann::json;

namespace {

constexpr std::uint32_t kDefaultSockets = 1024;
constexpr std::uint32_t kMinSockets = 128;
// With less, nothing could be served within the limit.
constexpr std::size_t kMinMemoryMb = 32;
constexpr int kHexadecimal = 16;
// A list of 1,024 instances of 4 KiB is a quarter of it.
constexpr core::DocumentLimits kFileLimits{.maxBytes = std::size_t{16} * 1024 * 1024,
                                           .maxValues = 512UL * 1024};
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

ConfigError fileError(const std::string& key, const std::string& reason) {
  return {ConfigInput::kFile, key, reason};
}

std::uint64_t parseSeed(const json& file) {
  const json& seed = file.contains("seed") ? file.at("seed") : json("0");
  if (seed.is_number_unsigned())
    return seed.get<std::uint64_t>();
  const std::string text = seed.get<std::string>();
  const char* const textEnd = text.data() + text.size();
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), textEnd, value, kHexadecimal);
  if (error != std::errc() || end != textEnd)
    throw fileError("seed", "seed is not a hexadecimal number");
  return value;
}

// The value of the variable, else of the file's key.
std::string valueOf(const json& file,
                    const Environment& environment,
                    const char* variable,
                    const char* key) {
  const auto set = environment.find(variable);
  if (set != environment.end())
    return set->second;
  if (!file.contains(key))
    throw fileError(key, std::string(key) + " is missing, and so is " + variable);
  return file.at(key).get<std::string>();
}

std::size_t parseSockets(const json& file) {
  std::size_t sockets = kDefaultSockets;
  if (file.contains("limits"))
    sockets = file.at("limits").value("sockets", kDefaultSockets);
  if (sockets < kMinSockets)
    throw fileError("limits.sockets", "limits.sockets is under 128: too few to serve");
  return sockets;
}

std::size_t parseMemoryMb(const json& file) {
  std::size_t memoryMb = Limits{}.memoryMb;
  if (file.contains("limits"))
    memoryMb = file.at("limits").value("memory_mb", memoryMb);
  return std::max(memoryMb, kMinMemoryMb);
}

Config parseConfig(const json& file, const Environment& environment) {
  Config config;
  config.name = valueOf(file, environment, "GW_NAME", "name");
  config.listen = net::parseEndpoint(valueOf(file, environment, "GW_LISTEN", "listen"));
  config.discovery = net::parseEndpoint(valueOf(file, environment, "GW_DISCOVERY", "discovery"));
  if (file.contains("discovery"))
    config.discoveryInFile = net::parseEndpoint(file.at("discovery").get<std::string>());
  if (file.contains("admin_addr") || environment.count("GW_ADMIN_ADDR") != 0)
    config.admin = net::parseEndpoint(valueOf(file, environment, "GW_ADMIN_ADDR", "admin_addr"));
  if (const auto folder = environment.find("TMPDIR"); folder != environment.end())
    config.sharedFolder = folder->second;
  config.seed = parseSeed(file);
  config.limits.sockets = parseSockets(file);
  config.limits.memoryMb = parseMemoryMb(file);
  if (!file.contains("settings"))
    throw fileError("settings", "settings is missing");
  const json& settings = file.at("settings");
  config.setup = frontend::settingsOf(settings);
  if (settings.contains("limits"))
    config.idleCloseMs = settings.at("limits").value("idleCloseMs", config.idleCloseMs);
  if (file.contains("known"))
    config.known = file.at("known");
  return config;
}

}  // namespace

Environment environmentOf(const char* const* variables) {
  Environment environment;
  for (; variables != nullptr && *variables != nullptr; ++variables) {
    const std::string_view pair(*variables);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(std::string(pair.substr(0, equals)),
                          std::string(pair.substr(equals + 1)));
  }
  return environment;
}

std::string readText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  std::string part(kReadBytes, '\0');
  while (file && text.size() <= kFileLimits.maxBytes) {
    file.read(part.data(), static_cast<std::streamsize>(part.size()));
    text.append(part, 0, static_cast<std::size_t>(file.gcount()));
  }
  if (text.empty() || file.bad())
    throw fileError("", "cannot read " + path);
  return text;
}

json parseJson(const std::string& text, const std::string& path) {
  try {
    return core::parseJson(text, kFileLimits);
  } catch (const core::DocumentError& fault) {
    throw fileError("", path + ": " + fault.what());
  }
}

// What the parsers below this one throw names the key in its text.
Config configOf(const json& file, const Environment& environment) {
  try {
    return parseConfig(file, environment);
  } catch (const json::exception& fault) {
    throw fileError("", fault.what());
  } catch (const std::invalid_argument& fault) {
    throw fileError("", fault.what());
  } catch (const routing::wire::Malformed& fault) {
    throw fileError("", fault.what());
  }
}

}  // namespace inference_router::app
