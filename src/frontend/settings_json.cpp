#include "frontend/settings_json.h"

#include <algorithm>
#include <stdexcept>

namespace inference_router::frontend {

using nlohmann::json;
using namespace inference_router::routing;

namespace {

// As on the simulator's wire: spaces, commas and tabs in a value arrive as underscores.
std::string plain(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return c == ' ' || c == ',' || c == '\t' || c == '\n'; }, '_');
  return text;
}

void layOut(const json& value, const std::string& path, std::string& to) {
  const std::string at = path.empty() ? path : path + ".";
  if (value.is_null())
    return;
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items())
      layOut(inner, at + name, to);
    return;
  }
  const bool objects = value.is_array() && !value.empty() && value.front().is_object();
  if (objects) {
    to += "\t" + at + "count=" + std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i)
      layOut(value[i], at + std::to_string(i), to);
    return;
  }
  to += "\t" + path + "=";
  if (!value.is_array()) {
    to += plain(value);
    return;
  }
  for (std::size_t i = 0; i < value.size(); ++i)
    to += (i > 0 ? "," : "") + plain(value[i]);
}

}  // namespace

std::string pairsOf(const json& settings, const std::string& seed) {
  std::string text = "ENLIST\t" + seed;
  layOut(settings, "", text);
  return text;
}

wire::Setup settingsOf(const json& settings) {
  const std::string text = pairsOf(settings, "0");
  wire::Setup setup = wire::parseSetup(wire::Line(text, 1));
  if (const auto problem = problemWith(setup.settings))
    throw std::invalid_argument("unusable settings: " + describe(*problem));
  return setup;
}

}  // namespace inference_router::frontend
