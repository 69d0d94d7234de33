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
    role.fail("must be read, write or both, not " + name);
  for (std::uint32_t i = 0; i < settings.kinds.size(); ++i)
    if (settings.kinds[i].role == found->second)
      return {i};
  role.fail("is " + name + ", but no kind in the settings has this role");
}

// Reads an optional name. Fails if the name is not one of those in the settings.
std::string readKnownName(const core::ConfigReader& entry,
                          const char* field,
                          const std::vector<std::string>& names,
                          const char* category) {
  auto name = entry.value<std::string>(field, "");
  if (!name.empty() && !contains(names, name))
    entry.at(field).fail("is " + name + ", which is not a " + category + " in the settings");
  return name;
}

void readKeys(const core::ConfigReader& file, OperatorFile& result) {
  for (const core::ConfigReader& entry : file.at("keys").list()) {
    const ApiKey key{readKnownName(entry, "tenant", result.setup.names.tenants, "tenant"),
                     readKnownName(entry, "class", result.setup.names.classes, "class"),
                     entry.value<std::string>("name", "")};
    const bool isDuplicate =
        std::any_of(result.keys.begin(), result.keys.end(),
                    [&](const auto& other) { return other.second.name == key.name; });
    if (!key.name.empty() && isDuplicate)
      entry.at("name").fail("is " + key.name + ", which another key has already");
    const auto text = entry.at("key").as<std::string>();
    if (text.empty() || !result.keys.emplace(text, key).second)
      entry.at("key").fail("is empty or a duplicate");
  }
  if (result.keys.empty())
    file.at("keys").fail("is empty: no client could authenticate");
}

net::Endpoint addressAt(const core::ConfigReader& field) {
  return field.read([](const std::string& text) { return net::parseEndpoint(text); });
}

void readInstances(const core::ConfigReader& file, OperatorFile& result) {
  result.instances = {kFirstVersion, routing::EndpointListForm::kFull, {}};
  for (const core::ConfigReader& entry : file.at("boxes").list()) {
    const routing::InstanceId id{entry.at("id").as<std::string>()};
    const double size = entry.above0("size", 1.0);
    upstream::InstanceEndpoint endpoint;
    endpoint.address = addressAt(entry.at("address"));
    if (id.value.empty() || !result.directory.all().emplace(id, endpoint).second)
      entry.at("id").fail("is empty or a duplicate");
    result.instances.entries.push_back({id,
                                        result.setup.settings.zone,
                                        kindOf(result.setup.settings, entry.at("role")),
                                        {entry.value("cell", 0U)},
                                        routing::EndpointState::kActive,
                                        size,
                                        std::nullopt});
  }
  if (result.instances.entries.empty())
    file.at("boxes").fail("is empty: there is no instance to send requests to");
}

void readModels(const core::ConfigReader& file, OperatorFile& result) {
  const core::ConfigReader models = file.at("models").object();
  for (const auto& [model, cls] : models.json().items()) {
    result.models[model] =
        readKnownName(models, model.c_str(), result.setup.names.classes, "class");
    if (result.models[model].empty())
      models.at(model).fail("is empty");
  }
  if (result.models.empty())
    models.fail("is empty: there is no model that clients could request");
}

void readSettings(const core::ConfigReader& file, OperatorFile& result) {
  const core::ConfigReader settings = file.at("settings").object();
  result.setup = settingsOf(settings.json());
  if (settings.has("limits"))
    result.idleCloseMs = settings.at("limits").above0("idleCloseMs", result.idleCloseMs);
}

void readAdmission(const core::ConfigReader& file, OperatorFile& result) {
  if (!file.has("admission"))
    return;
  std::set<std::string> names;
  for (const auto& [text, key] : result.keys)
    if (!key.name.empty())
      names.insert(key.name);
  result.admission = admission::rulesOf(file.at("admission").json(), names,
                                        maxAdmittedConnections(result.sockets));
}

void readFleet(const core::ConfigReader& file, OperatorFile& result) {
  if (file.has("coordination"))
    result.coordination = coordination::setupOf(
        file.at("coordination"), core::toMs(result.setup.settings.contract.warmupDuration));
  if (!file.has("shared"))
    return;
  if (!result.coordination)
    file.at("shared").fail("requires `coordination`, whose store holds the shared state");
  result.shared = shared::sharedSetupOf(file.at("shared"), result.setup.names.tenants);
}

}  // namespace

std::size_t maxAdmittedConnections(std::size_t sockets) {
  const admission::DescriptorBudget::Shares shares = admission::DescriptorBudget::sharesOf(sockets);
  return shares.max[static_cast<std::size_t>(admission::Account::kClients)];
}

OperatorFile operatorFileOf(const json& file) {
  const core::ConfigReader reader(file);
  OperatorFile result;
  result.listen = addressAt(reader.at("listen"));
  if (reader.has("admin_addr"))
    result.admin = addressAt(reader.at("admin_addr"));
  result.seed = reader.value("seed", result.seed);
  result.sockets = reader.value("sockets", result.sockets);
  if (result.sockets < kMinSockets)
    throw OperatorFileError("sockets is under 128: too few to serve");
  result.defaultMaxTokens = reader.above0("default_max_tokens", result.defaultMaxTokens);
  result.instanceKey = reader.value<std::string>("box_key", "");
  readSettings(reader, result);
  readKeys(reader, result);
  readModels(reader, result);
  readInstances(reader, result);
  readAdmission(reader, result);
  readFleet(reader, result);
  return result;
}

}  // namespace inference_router::frontend
