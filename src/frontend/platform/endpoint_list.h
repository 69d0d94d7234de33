/// Reads the platform's lists of instances.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "inference_router/router.h"
#include "settings_parser.h"
#include "upstream/instance_directory.h"

namespace inference_router::frontend {

/// A list as the module takes it, and where its instances are reached.
struct EndpointList {
  routing::EndpointListUpdate update;
  std::map<routing::InstanceId, upstream::InstanceEndpoint> endpoints;
};

/// Leaves out instances of zones that the settings do not name. form: as the list itself says where
/// it is not given. Throws json::exception or net::AddressError on what is no list.
EndpointList parseEndpointList(const nlohmann::json& list,
                               const routing::wire::Vocabulary& names,
                               std::optional<routing::EndpointListForm> form);

}  // namespace inference_router::frontend
