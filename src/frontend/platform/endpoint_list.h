/// Parses the platform's endpoint lists.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "inference_router/router.h"
#include "settings_parser.h"
#include "upstream/instance_directory.h"

namespace inference_router::frontend {

/// A list in the form that the routing library takes, and the addresses of its instances.
struct EndpointList {
  routing::EndpointListUpdate update;
  std::map<routing::InstanceId, upstream::InstanceEndpoint> endpoints;
};

/// Parses a list. Skips instances in zones that the settings do not name. form: if not given, it is
/// read from the list. Throws json::exception or net::AddressError if the list is invalid.
EndpointList parseEndpointList(const nlohmann::json& list,
                               const routing::wire::Vocabulary& names,
                               std::optional<routing::EndpointListForm> form);

}  // namespace inference_router::frontend
