#include "app/serve_platform.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "app/admin_service.h"
#include "app/discovery_monitor.h"

namespace inference_router::app {

namespace {

// A planned restart: SIGKILL follows SIGTERM no sooner than the longest deadline, taken as 3 s
// where it is longer, and 0.7 s.
constexpr double kMaxDeadlineMs = 3'000;
constexpr double kGraceBeyondDeadlineMs = 700;
// Where clients ask for the rest of a stream, new requests are served for this share of the grace:
// a peer that was stopped just before may be down, and open streams then move to the others.
constexpr double kAcceptShareOfGrace = 0.58;

std::unique_ptr<SharedFolder> makeSharedFolder(const Config& config) {
  if (!config.admin || config.sharedFolder.empty())
    return nullptr;
  return std::make_unique<SharedFolder>(config.sharedFolder, config.name);
}

std::unique_ptr<Server> makeServer(boost::asio::io_context& io,
                                   const core::Clock& clock,
                                   const Config& config,
                                   const Limits& limits,
                                   const Telemetry& telemetry) {
  auto server = std::make_unique<Server>(
      io, clock, config.setup,
      ServerOptions{.seed = config.seed,
                    .instanceConnections = limits.instances(),
                    .idleCloseMs = config.idleCloseMs,
                    .protocol = frontend::platformProtocol(),
                    .descriptors = limits.sockets,
                    .requestMemoryBytes = limits.requestMemoryBytes(),
                    .instanceReceiveBytes = socketMemory(limits).instanceReceiveBytes});
  attachTrace(*server, telemetry);
  return server;
}

// While discovery is lost, the file is looked at again before each call: the signal that told of
// another address may have been missed. $GW_DISCOVERY may be older than the file.
std::unique_ptr<frontend::Discovery> startDiscovery(Server& server,
                                                    const Config& config,
                                                    DiscoveryMonitor& monitor) {
  const routing::Settings& settings = config.setup.settings;
  auto discovery = std::make_unique<frontend::Discovery>(
      server.io, server.clock, server.timers, server.counters, server, server.directory,
      server.pool, config.setup.names,
      fleet::DiscoveryBackoff(settings.nodes, core::toMs(settings.contract.drainGrace),
                              config.seed));
  discovery->accountTo(server.descriptorBudget);
  discovery->onStatus(
      [&monitor](const frontend::DiscoveryStatus& status) { monitor.observe(status); });
  discovery->onRetry([&server] { server.reloads.refresh(); });
  if (!config.known.is_null())
    discovery->loadCached(config.known);
  discovery->watch(config.discovery);
  discovery->setFallback(config.discoveryInFile);
  return discovery;
}

/// The parts of one router, in the order in which they depend on each other.
class PlatformRouter {
 public:
  PlatformRouter(Config config, const Telemetry& telemetry);
  /// Returns when the process is to end. source: of the configuration, for reloads.
  void run(ConfigurationFile<Config>& source);

 private:
  void applyReload(const Config& reread);

  const Config config_;
  std::optional<net::Endpoint> discoveryInFile_;  // as the file said it last
  boost::asio::io_context io_;
  const core::SystemClock clock_;
  const Limits limits_;
  const std::unique_ptr<Server> server_;
  frontend::PlatformFront front_;
  DiscoveryMonitor discoveryMonitor_;
  const std::unique_ptr<frontend::Discovery> discovery_;
  const std::unique_ptr<OtlpExporter> exporter_;
  net::Listener listener_;
  const std::unique_ptr<SharedFolder> folder_;
  ExclusionStore exclusions_;
  HotRestart hotRestart_;
  LifecycleTracker lifecycles_;
  AdminService adminService_;
  const std::unique_ptr<net::LineServer> adminEndpoint_;
};

PlatformRouter::PlatformRouter(Config config, const Telemetry& telemetry)
    : config_(std::move(config)),
      discoveryInFile_(config_.discoveryInFile),
      limits_{availableDescriptors(config_.limits.sockets), config_.limits.memoryMb},
      server_(makeServer(io_, clock_, config_, limits_, telemetry)),
      front_(server_->dispatcher, config_.setup.names, clock_, server_->counters),
      discoveryMonitor_(clock_, server_->counters),
      discovery_(startDiscovery(*server_, config_, discoveryMonitor_)),
      exporter_(makeExporter(*server_, telemetry)),
      listener_(io_,
                config_.listen,
                limits_.clients(),
                front_,
                clock_,
                server_->timers,
                server_->counters,
                {.sharedPort = config_.admin.has_value(),
                 .open = false,
                 .admissionController = nullptr,
                 .descriptorBudget = &server_->descriptorBudget,
                 .connectionLimits = connectionLimits(limits_, *server_)}),
      folder_(makeSharedFolder(config_)),
      exclusions_(*server_, folder_.get()),
      hotRestart_({.server = *server_,
                   .listener = listener_,
                   .front = front_,
                   .setup = config_.setup,
                   .limits = limits_,
                   .listConfirmed = [this] { return discovery_->hasWatch(); }},
                  folder_.get(),
                  exclusions_),
      lifecycles_(*server_, config_.setup),
      adminService_({.server = *server_,
                     .listener = listener_,
                     .setup = config_.setup,
                     .hotRestart = hotRestart_,
                     .exclusions = exclusions_,
                     .lifecycles = lifecycles_,
                     .discovery = discovery_.get()}),
      adminEndpoint_(makeAdminEndpoint(config_.admin, adminService_, *server_)) {
  front_.setReadinessCheck([this] { return !listener_.evacuated(); });
}

void PlatformRouter::run(ConfigurationFile<Config>& source) {
  logListening(config_.name, listener_);
  hotRestart_.start();
  if (adminEndpoint_)
    lifecycles_.start();
  ShutdownOptions shutdown = platformShutdown(config_.setup.settings);
  shutdown.hasSuccessor = [this] { return hotRestart_.hasSuccessor(); };
  shutdown.handOver = [this] { hotRestart_.handOver(); };
  shutdown.successorTakesStreams = [this] { return hotRestart_.successorTakesStreams(); };
  shutdown.hasResigned = [this] { return !hotRestart_.handoverUnderWay(); };
  server_->run(listener_, std::move(shutdown),
               reloadSteps<Config>(source, [this](const Config& reread) { applyReload(reread); }));
}

// $GW_DISCOVERY holds what counted at the start: only a change within the file says that discovery
// has moved.
void PlatformRouter::applyReload(const Config& reread) {
  hotRestart_.setMemory(reread.limits.memoryMb);
  if (!reread.discoveryInFile || reread.discoveryInFile == discoveryInFile_)
    return;
  discoveryInFile_ = reread.discoveryInFile;
  spdlog::info("discovery is at {} now", net::textOf(*discoveryInFile_));
  discovery_->watch(*discoveryInFile_);
}

}  // namespace

ShutdownOptions platformShutdown(const routing::Settings& settings) {
  double longestMs = 0;
  for (const auto& cls : settings.classes)
    longestMs = std::max(longestMs, core::toMs(cls.deadline));
  const double graceMs = std::min(longestMs, kMaxDeadlineMs) + kGraceBeyondDeadlineMs;
  if (!settings.streamResumption)
    return {.acceptForMs = kAcceptAfterStopMs, .graceMs = graceMs};
  return {.acceptForMs = std::max(kAcceptAfterStopMs, graceMs * kAcceptShareOfGrace),
          .graceMs = graceMs};
}

void servePlatform(ConfigurationFile<Config> file, const Telemetry& telemetry) {
  PlatformRouter(file.read(), telemetry).run(file);
}

}  // namespace inference_router::app
