#include "app/config.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include "frontend/settings_json.h"
#include "upstream/instance_directory.h"

namespace inference_router::app {

using nlohmann::json;

namespace {

std::uint64_t seedOf(const json& file) {
  const json& seed = file.contains("seed") ? file.at("seed") : json("0");
  if (seed.is_number_unsigned())
    return seed.get<std::uint64_t>();
  const std::string text = seed.get<std::string>();
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (fault != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed is not a hexadecimal number");
  return value;
}

std::string pick(const json& file,
                 const Environment& environment,
                 const char* variable,
                 const char* key) {
  const auto set = environment.find(variable);
  if (set != environment.end())
    return set->second;
  if (!file.contains(key))
    throw ConfigError(std::string(key) + " is missing, and so is " + variable);
  return file.at(key).get<std::string>();
}

}  // namespace

Environment environmentOf(const char* const* variables) {
  Environment found;
  for (; variables != nullptr && *variables != nullptr; ++variables) {
    const std::string_view pair(*variables);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      found.emplace(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)));
  }
  return found;
}

json readJson(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw ConfigError("cannot read " + path);
  try {
    return json::parse(file);
  } catch (const json::exception& fault) {
    throw ConfigError(path + ": " + fault.what());
  }
}

Config configOf(const json& file, const Environment& environment) {
  try {
    Config config;
    config.name = pick(file, environment, "GW_NAME", "name");
    config.listen = net::endpointOf(pick(file, environment, "GW_LISTEN", "listen"));
    config.discovery = net::endpointOf(pick(file, environment, "GW_DISCOVERY", "discovery"));
    if (file.contains("discovery"))
      config.discoveryInFile = net::endpointOf(file.at("discovery").get<std::string>());
    if (file.contains("admin_addr") || environment.count("GW_ADMIN_ADDR") != 0)
      config.admin = net::endpointOf(pick(file, environment, "GW_ADMIN_ADDR", "admin_addr"));
    if (const auto folder = environment.find("TMPDIR"); folder != environment.end())
      config.sharedFolder = folder->second;
    config.seed = seedOf(file);
    if (file.contains("limits"))
      config.limits.sockets = file.at("limits").value("sockets", 1024U);
    if (config.limits.sockets < 128)
      throw ConfigError("limits.sockets is under 128: too few to serve");
    if (!file.contains("settings"))
      throw ConfigError("settings is missing");
    const json& settings = file.at("settings");
    config.setup = frontend::settingsOf(settings);
    if (settings.contains("limits"))
      config.idleCloseMs = settings.at("limits").value("idleCloseMs", config.idleCloseMs);
    if (file.contains("known"))
      config.known = file.at("known");
    return config;
  } catch (const json::exception& fault) {
    throw ConfigError(fault.what());
  } catch (const std::invalid_argument& fault) {
    throw ConfigError(fault.what());
  } catch (const routing::wire::Malformed& fault) {
    throw ConfigError(fault.what());
  }
}

}  // namespace inference_router::app
