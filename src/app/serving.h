/// What all ways of serving have in common: telemetry, the admin endpoint and the limit of
/// descriptors.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "app/configuration_file.h"
#include "app/otlp.h"
#include "app/reload_retry.h"
#include "app/server.h"
#include "control/admin_api.h"
#include "net/connection_limits.h"
#include "net/endpoint.h"
#include "net/line_server.h"

namespace inference_router::app {

struct Telemetry {
  std::optional<net::Endpoint> collector = std::nullopt;  ///< none: nothing is exported
  double intervalMs = 10'000;
  bool trace = false;  ///< log events and actions of the decision module
};

/// The time after SIGTERM in which new connections may still arrive: clients learn of the end up to
/// 0.4 s later.
constexpr double kAcceptAfterStopMs = 500;

/// Steps of a reload that read a file and pass it to apply, which throws before it changes
/// anything. The file must outlive them.
template <class Configuration>
ReloadSteps reloadSteps(ConfigurationFile<Configuration>& file,
                        const std::function<void(Configuration)>& apply) {
  const auto refresh = [&file, apply] {
    std::optional<Configuration> changed = file.readIfChanged();
    if (changed)
      apply(std::move(*changed));
    return changed.has_value();
  };
  return {.reload = [&file, apply] { apply(file.read()); }, .refresh = refresh};
}

/// As many descriptors as configured, and no more than the system gives; raises the soft limit.
std::size_t availableDescriptors(std::size_t configured);

/// Logs events, actions and lines of the wire if telemetry asks for it.
void attachTrace(Server& server, const Telemetry& telemetry);
/// Null if telemetry names no collector.
std::unique_ptr<OtlpExporter> makeExporter(Server& server, const Telemetry& telemetry);
/// Null without an address. api must outlive the result.
std::unique_ptr<net::LineServer> makeAdminEndpoint(const std::optional<net::Endpoint>& address,
                                                   control::AdminApi& api,
                                                   Server& server);
/// What the kernel holds for each connection, so that all of them fit into the limits.
net::SocketMemory socketMemory(const Limits& limits);
/// Of each client's connection. The server must outlive it.
net::ConnectionLimits connectionLimits(const Limits& limits, Server& server);
void logListening(const std::string& name, const net::Listener& listener);

}  // namespace inference_router::app
