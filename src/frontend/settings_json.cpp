#include "frontend/settings_json.h"

#include <algorithm>

namespace inference_router::frontend {

using nlohmann::json;
namespace wire = routing::wire;

namespace {

// The beginning of a setup message, up to its pairs. The seed does not affect the settings.
constexpr const char* kSetupMessage = "ENLIST\t0";

// Replaces spaces, commas, tabs and line feeds by underscores, as the simulator's wire does.
std::string scalarText(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return c == ' ' || c == ',' || c == '\t' || c == '\n'; }, '_');
  return text;
}

void appendPairs(const json& value, const std::string& path, std::string& output);

void appendObject(const json& object, const std::string& prefix, std::string& output) {
  for (const auto& [name, value] : object.items())
    appendPairs(value, prefix + name, output);
}

void appendObjectList(const json& list, const std::string& prefix, std::string& output) {
  output += "\t" + prefix + "count=" + std::to_string(list.size());
  for (std::size_t i = 0; i < list.size(); ++i)
    appendPairs(list[i], prefix + std::to_string(i), output);
}

void appendScalarList(const json& list, std::string& output) {
  for (std::size_t i = 0; i < list.size(); ++i)
    output += (i > 0 ? "," : "") + scalarText(list[i]);
}

void appendPairs(const json& value, const std::string& path, std::string& output) {
  const std::string prefix = path.empty() ? path : path + ".";
  if (value.is_null())
    return;
  if (value.is_object())
    return appendObject(value, prefix, output);
  if (value.is_array() && !value.empty() && value.front().is_object())
    return appendObjectList(value, prefix, output);
  output += "\t" + path + "=";
  if (value.is_array())
    appendScalarList(value, output);
  else
    output += scalarText(value);
}

}  // namespace

wire::Setup settingsOf(const json& settings) {
  std::string message = kSetupMessage;
  appendPairs(settings, "", message);
  wire::Setup setup = wire::parseSetup(wire::Line(message, 1));
  if (const auto problem = routing::validate(setup.settings))
    throw SettingsError(describe(*problem));
  return setup;
}

}  // namespace inference_router::frontend
