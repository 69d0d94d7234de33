/// The commands of the admin endpoint and the text of their answers, independent of the transport.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "control/admin_api.h"

namespace inference_router::control {

constexpr std::size_t kMaxLineBytes = 1024;
/// A maintenance plan may name every instance, with ids of the largest size.
constexpr std::size_t kMaxMaintenanceLineBytes = kMaxLineBytes + 1024UL * (128 + 1);

/// Executes one line, without its line end, and returns the whole answer. An invalid line has no
/// effect and is answered with the reason. Does not change the maintenance plan.
std::string execute(AdminApi& api, std::string_view line);

/// The same for all commands; onAnswer is called exactly once, possibly later.
void executeAsync(AdminApi& api,
                  std::string_view line,
                  std::function<void(std::string response)> onResponse);

/// The request counters in the exposition format of Prometheus.
std::string telemetry(AdminApi& api);

}  // namespace inference_router::control
