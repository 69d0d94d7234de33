#include "frontend/openai/operator_file.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "admission/descriptor_budget.h"
#include "core/clock.h"
#include "core/config_reader.h"
#include "frontend/settings_json.h"

namespace inference_router::frontend {

using nlohmann::json;
using routing::KindIndex;
using routing::Role;

namespace {

constexpr std::size_t kMinSockets = 128;
constexpr std::uint64_t kFirstVersion = 1;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

KindIndex kindOf(const routing::Settings& settings, const core::ConfigReader& role) {
  const std::map<std::string, Role> roles{
      {"read", Role::kPrefill}, {"write", Role::kDecode}, {"both", Role::kMixed}};
  const auto name = role.as<std::string>();
  const auto found = roles.find(name);
  if (found == roles.end())
    role.fail("is read, write or both, not " + name);
  for (std::uint32_t i = 0; i < settings.kinds.size(); ++i)
    if (settings.kinds[i].role == found->second)
      return {i};
  role.fail("is " + name + ", which no kind in the settings can do");
}

// A name that has to be one of the settings', or is left out.
std::string nameAmong(const core::ConfigReader& entry,
                      const char* field,
                      const std::vector<std::string>& names,
                      const char* what) {
  auto name = entry.value<std::string>(field, "");
  if (!name.empty() && !contains(names, name))
    entry.at(field).fail("is " + name + ", not a " + what + " of the settings");
  return name;
}

void readKeys(const core::ConfigReader& file, OperatorFile& to) {
  for (const core::ConfigReader& entry : file.at("keys").list()) {
    const ApiKey key{nameAmong(entry, "tenant", to.setup.names.tenants, "tenant"),
                     nameAmong(entry, "class", to.setup.names.classes, "class"),
                     entry.value<std::string>("name", "")};
    const bool isTaken = std::any_of(to.keys.begin(), to.keys.end(), [&](const auto& other) {
      return other.second.name == key.name;
    });
    if (!key.name.empty() && isTaken)
      entry.at("name").fail("is " + key.name + ", which stands twice");
    const auto text = entry.at("key").as<std::string>();
    if (text.empty() || !to.keys.emplace(text, key).second)
      entry.at("key").fail("is empty or stands twice");
  }
  if (to.keys.empty())
    file.at("keys").fail("is empty, so nobody could ask");
}

net::Endpoint addressAt(const core::ConfigReader& field) {
  return field.read([](const std::string& text) { return net::parseEndpoint(text); });
}

void readInstances(const core::ConfigReader& file, OperatorFile& to) {
  to.instances = {kFirstVersion, routing::EndpointListForm::kFull, {}};
  for (const core::ConfigReader& entry : file.at("boxes").list()) {
    const routing::InstanceId id{entry.at("id").as<std::string>()};
    const double size = entry.above0("size", 1.0);
    upstream::InstanceEndpoint endpoint;
    endpoint.address = addressAt(entry.at("address"));
    if (id.value.empty() || !to.directory.all().emplace(id, endpoint).second)
      entry.at("id").fail("is empty or stands twice");
    to.instances.entries.push_back({id,
                                    to.setup.settings.zone,
                                    kindOf(to.setup.settings, entry.at("role")),
                                    {entry.value("cell", 0U)},
                                    routing::EndpointState::kActive,
                                    size,
                                    std::nullopt});
  }
  if (to.instances.entries.empty())
    file.at("boxes").fail("is empty: there is none to send to");
}

void readModels(const core::ConfigReader& file, OperatorFile& to) {
  const core::ConfigReader models = file.at("models").object();
  for (const auto& [model, cls] : models.json().items()) {
    to.models[model] = nameAmong(models, model.c_str(), to.setup.names.classes, "class");
    if (to.models[model].empty())
      models.at(model).fail("is empty");
  }
  if (to.models.empty())
    models.fail("is empty: there is none to ask for");
}

void readSettings(const core::ConfigReader& file, OperatorFile& to) {
  const core::ConfigReader settings = file.at("settings").object();
  to.setup = settingsOf(settings.json());
  if (settings.has("limits"))
    to.idleCloseMs = settings.at("limits").above0("idleCloseMs", to.idleCloseMs);
}

void readAdmission(const core::ConfigReader& file, OperatorFile& to) {
  if (!file.has("admission"))
    return;
  std::set<std::string> names;
  for (const auto& [text, key] : to.keys)
    if (!key.name.empty())
      names.insert(key.name);
  to.admission =
      admission::rulesOf(file.at("admission").json(), names, maxAdmittedConnections(to.sockets));
}

void readFleet(const core::ConfigReader& file, OperatorFile& to) {
  if (file.has("coordination"))
    to.coordination = coordination::setupOf(file.at("coordination"),
                                            core::toMs(to.setup.settings.contract.warmupDuration));
  if (!file.has("shared"))
    return;
  if (!to.coordination)
    file.at("shared").fail("needs `coordination`, whose store carries it");
  to.shared = shared::sharedSetupOf(file.at("shared"), to.setup.names.tenants);
}

}  // namespace

std::size_t maxAdmittedConnections(std::size_t sockets) {
  const admission::DescriptorBudget::Shares shares = admission::DescriptorBudget::sharesOf(sockets);
  return shares.max[static_cast<std::size_t>(admission::Account::kClients)];
}

OperatorFile operatorFileOf(const json& file) {
  const core::ConfigReader reader(file);
  OperatorFile to;
  to.listen = addressAt(reader.at("listen"));
  if (reader.has("admin_addr"))
    to.admin = addressAt(reader.at("admin_addr"));
  to.seed = reader.value("seed", to.seed);
  to.sockets = reader.value("sockets", to.sockets);
  if (to.sockets < kMinSockets)
    throw OperatorFileError("sockets is under 128: too few to serve");
  to.defaultMaxTokens = reader.above0("default_max_tokens", to.defaultMaxTokens);
  to.instanceKey = reader.value<std::string>("box_key", "");
  readSettings(reader, to);
  readKeys(reader, to);
  readModels(reader, to);
  readInstances(reader, to);
  readAdmission(reader, to);
  readFleet(reader, to);
  return to;
}

}  // namespace inference_router::frontend
