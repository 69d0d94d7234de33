/// The commands of the admin endpoint and the text of their responses, independent of the
/// transport.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "control/admin_api.h"

namespace inference_router::control {

/// The largest command line, except for a maintenance command.
constexpr std::size_t kMaxLineBytes = 1024;
/// A maintenance command may list all 1024 instances, with ids of 128 bytes.
constexpr std::size_t kMaxMaintenanceLineBytes = kMaxLineBytes + 1024UL * (128 + 1);

/// Executes one line, without its line end, and returns the whole response. An invalid line has no
/// effect, and the response gives the reason. Cannot change the maintenance plan.
std::string execute(AdminApi& api, std::string_view line);

/// Executes any command; onResponse is called exactly once, possibly after this call returned.
void executeAsync(AdminApi& api,
                  std::string_view line,
                  std::function<void(std::string response)> onResponse);

/// The request counters and instance counts in the Prometheus text format.
std::string telemetry(AdminApi& api);

}  // namespace inference_router::control
