#include "fronts/openai/operator_file.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "admission/ledger.h"
#include "app/settings_json.h"

namespace dahliastall::fronts {

using namespace leverrelay;
using nlohmann::json;

namespace {

bool among(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

KindIndex kindOf(const Settings& settings, const std::string& role) {
  const std::map<std::string, Role> roles{
      {"read", Role::kReader}, {"write", Role::kWriter}, {"both", Role::kMixed}};
  const auto found = roles.find(role);
  if (found == roles.end()) throw std::invalid_argument("a box's role is read, write or both, not " + role);
  for (std::uint32_t i = 0; i < settings.kinds.size(); ++i)
    if (settings.kinds[i].role == found->second) return {i};
  throw std::invalid_argument("no kind in the settings has the role " + role);
}

void readKeys(const json& file, OperatorFile& to) {
  for (const json& entry : file.at("keys")) {
    const ApiKey key{entry.value("tenant", ""), entry.value("class", ""), entry.value("name", "")};
    if (!key.name.empty() && std::any_of(to.keys.begin(), to.keys.end(),
                                         [&](const auto& other) { return other.second.name == key.name; }))
      throw std::invalid_argument("keys: the name " + key.name + " stands twice");
    if (!key.tenant.empty() && !among(to.setup.names.tenants, key.tenant))
      throw std::invalid_argument("keys: " + key.tenant + " is not a tenant of the settings");
    if (!key.cls.empty() && !among(to.setup.names.classes, key.cls))
      throw std::invalid_argument("keys: " + key.cls + " is not a class of the settings");
    const auto text = entry.at("key").get<std::string>();
    if (text.empty() || !to.keys.emplace(text, key).second)
      throw std::invalid_argument("keys: a key is empty or stands twice");
  }
  if (to.keys.empty()) throw std::invalid_argument("keys: there is none, so nobody could ask");
}

void readBoxes(const json& file, OperatorFile& to) {
  to.boxes = {1, ListForm::kFull, {}};
  for (const json& entry : file.at("boxes")) {
    const EngineId id{entry.at("id").get<std::string>()};
    const double size = entry.value("size", 1.0);
    if (!(size > 0)) throw std::invalid_argument("boxes: " + id.value + " has no size above 0");
    Box box;
    box.address = endpointOf(entry.at("address").get<std::string>());
    if (id.value.empty() || !to.directory.all().emplace(id, box).second)
      throw std::invalid_argument("boxes: an id is empty or stands twice");
    to.boxes.entries.push_back({id,
                                to.setup.settings.zone,
                                kindOf(to.setup.settings, entry.at("role").get<std::string>()),
                                {entry.value("cell", 0U)},
                                Presence::kActive,
                                size,
                                std::nullopt});
  }
  if (to.boxes.entries.empty()) throw std::invalid_argument("boxes: there is none to send to");
}

}  // namespace

std::size_t mostAdmitted(std::size_t sockets) {
  const admission::Ledger::Shares shares = admission::Ledger::sharesOf(sockets);
  return shares.most[static_cast<std::size_t>(admission::Account::kClients)];
}

OperatorFile operatorFileOf(const json& file) {
  OperatorFile to;
  to.listen = endpointOf(file.at("listen").get<std::string>());
  if (file.contains("admin_addr")) to.admin = endpointOf(file.at("admin_addr").get<std::string>());
  to.seed = file.value("seed", to.seed);
  to.sockets = file.value("sockets", to.sockets);
  if (to.sockets < 128) throw std::invalid_argument("sockets is under 128: too few to serve");
  to.defaultMaxTokens = file.value("default_max_tokens", to.defaultMaxTokens);
  to.boxKey = file.value("box_key", "");
  to.setup = app::settingsOf(file.at("settings"));
  const json limits = file.at("settings").value("limits", json::object());
  to.idleCloseMs = limits.value("idleCloseMs", to.idleCloseMs);
  readKeys(file, to);
  for (const auto& [model, cls] : file.at("models").items()) {
    if (!among(to.setup.names.classes, cls.get<std::string>()))
      throw std::invalid_argument("models: " + cls.get<std::string>() + " is not a class of the settings");
    to.models[model] = cls.get<std::string>();
  }
  if (to.models.empty()) throw std::invalid_argument("models: there is none to ask for");
  readBoxes(file, to);
  if (file.contains("admission")) {
    std::set<std::string> names;
    for (const auto& [text, key] : to.keys)
      if (!key.name.empty()) names.insert(key.name);
    to.admission = admission::rulesOf(file.at("admission"), names, mostAdmitted(to.sockets));
  }
  return to;
}

}  // namespace dahliastall::fronts
