#include "app/serving.h"

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "app/trace.h"
#include "control/commands.h"

namespace inference_router::app {

std::size_t availableDescriptors(std::size_t configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return configured;
  if (limit.rlim_cur < configured && limit.rlim_cur < limit.rlim_max) {
    limit.rlim_cur = std::min<rlim_t>(configured, limit.rlim_max);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < configured)
    spdlog::warn("sockets are {}, but the system gives {} descriptors", configured, limit.rlim_cur);
  return std::min<std::size_t>(configured, limit.rlim_cur);
}

void attachTrace(Server& server, const Telemetry& telemetry) {
  if (!telemetry.trace)
    return;
  const auto log = [](const auto& eventOrAction) {
    if (const std::string line = traceLine(eventOrAction); !line.empty())
      spdlog::info("trace: {}", line);
  };
  server.dispatcher.onEvent(log);
  server.dispatcher.onAction(log);
  server.pool.setTrace([](const std::string& line) { spdlog::info("wire: {}", line); });
}

std::unique_ptr<OtlpExporter> makeExporter(Server& server, const Telemetry& telemetry) {
  if (!telemetry.collector)
    return nullptr;
  auto exporter =
      std::make_unique<OtlpExporter>(server.io, server.clock, server.timers, server.counters,
                                     *telemetry.collector, telemetry.intervalMs);
  exporter->accountTo(server.descriptorBudget);
  return exporter;
}

std::unique_ptr<net::LineServer> makeAdminEndpoint(const std::optional<net::Endpoint>& address,
                                                   control::AdminApi& api,
                                                   Server& server) {
  if (!address)
    return nullptr;
  auto endpoint = std::make_unique<net::LineServer>(
      server.io, *address,
      net::LineServer::AsyncHandler(
          [&api](std::string_view line, net::LineServer::ReplyCallback reply) {
            control::executeAsync(api, line, std::move(reply));
          }),
      server.clock, server.timers, server.counters,
      net::LineServer::Limits{.lineBytes = control::kMaxMaintenanceLineBytes});
  endpoint->accountTo(server.descriptorBudget);
  return endpoint;
}

net::SocketMemory socketMemory(const Limits& limits) {
  return net::socketMemoryFor(limits.socketMemoryBytes(), limits.clients());
}

net::ConnectionLimits connectionLimits(const Limits& limits, Server& server) {
  const net::SocketMemory memory = socketMemory(limits);
  return {.maxUnreadBytes = memory.clientUnreadBytes,
          .sendBufferBytes = memory.clientSendBytes,
          .memory = &server.dispatcher.memory()};
}

void logListening(const std::string& name, const net::Listener& listener) {
  spdlog::info("{} listens on {}", name, net::textOf(listener.address()));
}

}  // namespace inference_router::app
