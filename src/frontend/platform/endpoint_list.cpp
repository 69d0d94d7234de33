#include "frontend/platform/endpoint_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace inference_router::frontend {

using nlohmann::json;
using routing::EndpointListForm;
using routing::EndpointState;

namespace {

EndpointState endpointStateOf(const std::string& phase) {
  if (phase == "active")
    return EndpointState::kActive;
  return phase == "leaving" ? EndpointState::kDraining : EndpointState::kRemoved;
}

// Returns the index of a name, or the number of names if it is not among them.
std::uint32_t indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

void addMember(const json& member, const routing::wire::Vocabulary& names, EndpointList& result) {
  const std::uint32_t zone = indexOf(names.zones, member.at("locality").get<std::string>());
  if (zone == names.zones.size())
    return;
  const routing::InstanceId id{member.at("id").get<std::string>()};
  upstream::InstanceEndpoint endpoint;
  endpoint.address = net::parseEndpoint(member.at("host_port").get<std::string>());
  endpoint.state = endpointStateOf(member.at("phase").get<std::string>());
  endpoint.startedMs = member.value("up_since_ms", 0.0);
  result.update.entries.push_back({
      .instance = id,
      .zone = {zone},
      .kind = {indexOf(names.kinds, member.at("flavor").get<std::string>())},
      .cell = {member.value("cell", 0U)},
      .state = endpoint.state,
      .weight = member.value("size", 1.0),
      .started = std::nullopt,
  });
  result.endpoints[id] = endpoint;
}

}  // namespace

EndpointList parseEndpointList(const json& list,
                               const routing::wire::Vocabulary& names,
                               std::optional<EndpointListForm> form) {
  EndpointList parsed;
  parsed.update.version = list.at("revision").get<std::uint64_t>();
  const bool complete = list.value("complete", false);
  parsed.update.form =
      form.value_or(complete ? EndpointListForm::kFull : EndpointListForm::kChanges);
  for (const json& member : list.at("members"))
    addMember(member, names, parsed);
  return parsed;
}

}  // namespace inference_router::frontend
