#include "app/server.h"

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>

#include "app/admission_watch.h"
#include "app/coordinator.h"
#include "app/operations.h"
#include "app/otlp.h"
#include "app/trace.h"
#include "net/line_server.h"

namespace inference_router::app {

namespace {

// An idle connection is retired at this share of the time after which the instance closes it, so
// that no request is ever written to one that is being closed.
constexpr double kIdleShare = 0.6;
// Connections arrive for 0.2 to 0.4 s after SIGTERM, so the door stays open a little longer.
constexpr double kDoorOpenMs = 500;
// A planned restart on the platform: SIGKILL follows SIGTERM no sooner than the longest deadline,
// taken as 3 s where it is longer, and 0.7 s. Where clients ask for the rest of a stream, the door
// stays open for this share of it: a peer that was stopped just before may be down, and streams
// that are open then move to the others.
constexpr double kLongestDeadlineMs = 3'000, kBeyondDeadlineMs = 700, kDoorShare = 0.58;
// Log, loop, timer, signals, listeners, the spare one, and what is shared with another process.
constexpr std::size_t kOwnDescriptors = 14;
// After the last answer: it and the closes of attempts that it called off are on their way, and who
// reads them should find this process there. SIGKILL follows the last answers by 0.2 s.
constexpr double kLastWordsMs = 100;
constexpr double kLeaveMs = 2'000;  // for a store to hear that leases are let go; else they lapse
constexpr std::uint64_t kAnswerBytes =
    16 << 20;  // of an instance's answer, far above the longest stream

void letReloadsThrough() {
  sigset_t reloads;
  sigemptyset(&reloads);
  sigaddset(&reloads, SIGHUP);
  pthread_sigmask(SIG_UNBLOCK, &reloads, nullptr);
}

void printCounters(const core::Counters& counters) {
  for (const auto& [name, value] : counters.all())
    spdlog::info("counter {} {}", name, value);
}

}  // namespace

void holdReloads() {
  sigset_t reloads;
  sigemptyset(&reloads);
  sigaddset(&reloads, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &reloads, nullptr);
}

Server::Server(boost::asio::io_context& context,
               const core::Clock& time,
               const routing::wire::Setup& setup,
               std::uint64_t seed,
               std::size_t instanceConnections,
               double idleCloseMs,
               upstream::InstanceProtocol dialect,
               std::size_t descriptors)
    : io(context),
      clock(time),
      descriptorBudget(admission::DescriptorBudget::sharesOf(descriptors)),
      loop(io, clock, timers),
      dispatcher(setup.settings, seed, clock, timers, counters),
      membership(seed),
      pool(io,
           clock,
           timers,
           counters,
           {instanceConnections, core::toMs(setup.settings.limits.connectTimeout),
            idleCloseMs * kIdleShare, kAnswerBytes}),
      instanceClient(std::move(dialect),
                     dispatcher,
                     pool,
                     directory,
                     clock,
                     timers,
                     counters,
                     core::toMs(setup.settings.contract.releaseLimit)),
      signals_(io, SIGTERM, SIGINT, SIGUSR1) {
  for (std::size_t i = 0; i < kOwnDescriptors; ++i)
    descriptorBudget.force(admission::Account::kOwn);
  pool.accountTo(descriptorBudget, admission::Account::kInstances);
  signals_.add(SIGHUP);
  dispatcher.onLog([](const std::string& text) { spdlog::info("module: {}", text); });
}

void Server::reconfigure(const routing::Settings& settings, upstream::InstanceProtocol dialect) {
  dispatcher.reconfigure(settings);
  pool.setConnectTimeout(core::toMs(settings.limits.connectTimeout));
  instanceClient.reconfigure(std::move(dialect), core::toMs(settings.contract.releaseLimit));
}

void Server::run(net::Listener& listener,
                 const ShutdownOptions& shutdown,
                 std::function<void()> reload) {
  listener_ = &listener;
  shutdown_ = shutdown;
  reload_ = std::move(reload);
  onSignal();
  letReloadsThrough();
  io.run();
  printCounters(counters);
}

void Server::onSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error)
      return;
    if (signal == SIGUSR1) {
      printCounters(counters);
    } else if (signal == SIGHUP) {
      this->reload();
    } else {
      stop();
    }
    onSignal();
  });
}

void Server::stop() {
  const bool replaced = succeeded();
  spdlog::info("stopping: {}, then finishing what was taken",
               replaced ? "another process serves what arrives" : "serving what still arrives");
  if (!stoppedMs_)
    stoppedMs_ = clock.nowMs();
  if (shutdown_.leave)
    shutdown_.leave();
  if (shutdown_.graceMs)
    dispatcher.stopping(*shutdown_.graceMs);
  listener_->drain(replaced ? 0 : shutdown_.doorOpenMs, [this] { finish(); });
  if (replaced)
    shutdown_.handOver();
}

// Also while the program drains: what it has taken still needs the list. A file that cannot be read
// or used leaves everything as it was.
void Server::reload() {
  try {
    reload_();
    ++counters["reloads.done"];
  } catch (const std::exception& fault) {
    ++counters["reloads.failed"];
    spdlog::error("SIGHUP: the configuration cannot be used, the old one stays: {}", fault.what());
  }
}

// The clients have their answers; what is held for them is let go before the program ends.
void Server::finish() {
  const double now = clock.nowMs();
  if (!finishedMs_)
    finishedMs_ = now;
  const bool leaving = shutdown_.hasLeft && !shutdown_.hasLeft() && now < *stoppedMs_ + kLeaveMs;
  const bool cameBack = listener_->size() > 0;  // from a successor that ended with streams untaken
  if (instanceClient.releasing() > 0 || leaving || cameBack || now < *finishedMs_ + kLastWordsMs) {
    timers.add(clock.nowMs() + 5, [this] { finish(); });
    return;
  }
  io.stop();
}

namespace {

void traceTo(Server& server, const Telemetry& telemetry) {
  if (!telemetry.trace)
    return;
  const auto log = [](const auto& what) {
    if (const std::string line = traceLine(what); !line.empty())
      spdlog::info("trace: {}", line);
  };
  server.dispatcher.onEvent(log);
  server.dispatcher.onAction(log);
  server.pool.setTrace([](const std::string& line) { spdlog::info("wire: {}", line); });
}

std::unique_ptr<OtlpExporter> exporterFor(Server& server, const Telemetry& telemetry) {
  if (!telemetry.collector)
    return nullptr;
  auto exporter =
      std::make_unique<OtlpExporter>(server.io, server.clock, server.timers, server.counters,
                                     *telemetry.collector, telemetry.intervalMs);
  exporter->accountTo(server.descriptorBudget);
  return exporter;
}

std::unique_ptr<net::LineServer> doorFor(const std::optional<net::Endpoint>& address,
                                         Operations& operations,
                                         Server& server) {
  if (!address)
    return nullptr;
  auto door = std::make_unique<net::LineServer>(
      server.io, *address,
      net::LineServer::LaterAnswer(
          [&operations](std::string_view line, net::LineServer::Reply reply) {
            control::handle(operations, line, std::move(reply));
          }),
      server.clock, server.timers, server.counters,
      net::LineServer::Limits{.lineBytes = control::kLongestPlanLine});
  door->accountTo(server.descriptorBudget);
  return door;
}

// As many as the configuration says, and no more than the system gives.
std::size_t descriptorsOf(std::size_t configured) {
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

std::unique_ptr<SharedFolder> folderFor(const Config& config) {
  if (!config.admin || config.sharedFolder.empty())
    return nullptr;
  return std::make_unique<SharedFolder>(config.sharedFolder, config.name);
}

void sayListening(const std::string& name, const net::Listener& listener) {
  spdlog::info("{} listens on {}:{}", name, listener.address().address().to_string(),
               listener.address().port());
}

}  // namespace

ShutdownOptions platformShutdown(const routing::Settings& settings) {
  if (!settings.streamResumption)
    return {kDoorOpenMs, std::nullopt, {}, {}};
  double longest = 0;
  for (const auto& cls : settings.classes)
    longest = std::max(longest, core::toMs(cls.deadline));
  const double grace = std::min(longest, kLongestDeadlineMs) + kBeyondDeadlineMs;
  return {std::max(kDoorOpenMs, grace * kDoorShare), grace, {}, {}};
}

void serve(const Config& config, const Telemetry& telemetry, const Reread<Config>& reread) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  const Limits limits{descriptorsOf(config.limits.sockets)};
  Server server(io, clock, config.setup, config.seed, limits.instances(), config.idleCloseMs,
                frontend::platformProtocol(), limits.sockets);
  frontend::PlatformFront front(server.dispatcher, config.setup.names, server.clock,
                                server.counters);
  frontend::Discovery discovery(server.io, server.clock, server.timers, server.counters, server,
                                server.directory, server.pool, config.setup.names,
                                fleet::DiscoveryBackoff(config.setup.settings.nodes, config.seed));
  discovery.accountTo(server.descriptorBudget);
  traceTo(server, telemetry);
  if (!config.known.is_null())
    discovery.loadCached(config.known);
  discovery.watch(config.discovery);
  const auto exporter = exporterFor(server, telemetry);
  net::Listener listener(server.io, config.listen, limits.clients(), front, server.clock,
                         server.timers, server.counters,
                         {.sharedPort = config.admin.has_value(),
                          .open = false,
                          .admissionController = nullptr,
                          .descriptorBudget = &server.descriptorBudget});
  front.readyWhen([&listener] { return !listener.evacuated(); });
  Operations operations({server, listener, config.setup, limits,
                         [&] { return discovery.hasWatch(); }, front, config.admin.has_value()},
                        folderFor(config));
  const auto door = doorFor(config.admin, operations, server);
  sayListening(config.name, listener);
  operations.start();
  ShutdownOptions shutdown = platformShutdown(config.setup.settings);
  shutdown.successor = [&operations] { return operations.hasSuccessor(); };
  shutdown.handOver = [&operations] { operations.handOver(); };
  shutdown.hasLeft = [&operations] { return !operations.handsOver(); };
  // $GW_DISCOVERY holds what counted at the start: only a change within the file says that it has
  // moved.
  server.run(listener, shutdown, [&, inFile = config.discoveryInFile]() mutable {
    const Config fresh = reread();
    if (!fresh.discoveryInFile || fresh.discoveryInFile == inFile)
      return;
    inFile = fresh.discoveryInFile;
    spdlog::info("SIGHUP: discovery is at {}:{} now", inFile->address().to_string(),
                 inFile->port());
    discovery.watch(*inFile);
  });
}

// The module numbers classes, tenants and kinds by their order: those there are keep their places,
// more may follow. Checked before anything changes.
void takeOver(frontend::OperatorFile fresh, frontend::OperatorFile& site, Server& server) {
  const auto keeps = [](const auto& old, const auto& now, const char* what) {
    if (now.size() < old.size() || !std::equal(old.begin(), old.end(), now.begin()))
      throw ConfigError(std::string(what) +
                        " were renamed, moved or removed: that needs a new start");
  };
  keeps(site.setup.names.classes, fresh.setup.names.classes, "classes");
  keeps(site.setup.names.tenants, fresh.setup.names.tenants, "tenants");
  keeps(site.setup.names.kinds, fresh.setup.names.kinds, "kinds");
  keeps(site.setup.names.zones, fresh.setup.names.zones, "zones");
  if (fresh.listen != site.listen || fresh.sockets != site.sockets)
    spdlog::warn("SIGHUP: listen and sockets change with the next start only");
  if (fresh.admin != site.admin)
    spdlog::warn("SIGHUP: admin_addr changes with the next start only");
  fresh.listen = site.listen;
  fresh.admin = site.admin;
  fresh.sockets = site.sockets;
  fresh.instances.version = site.instances.version + 1;
  site = std::move(fresh);
  server.reconfigure(site.setup.settings, frontend::openaiProtocol(site));
  server.directory.update(site.directory.all(), /*whole=*/true, server.pool);
  server.list(site.instances);
}

void serve(const frontend::OperatorFile& first,
           const Telemetry& telemetry,
           const Reread<frontend::OperatorFile>& reread) {
  frontend::OperatorFile site = first;
  boost::asio::io_context io;
  const core::SystemClock clock;
  const Limits limits{descriptorsOf(site.sockets)};
  Server server(io, clock, site.setup, site.seed, limits.instances(), site.idleCloseMs,
                frontend::openaiProtocol(site), limits.sockets);
  std::unique_ptr<admission::AdmissionController> gate;
  if (site.admission) {
    if (site.admission->total > frontend::maxAdmittedConnections(limits.sockets))
      throw ConfigError("admission.connections.total cannot be met: the system gives only " +
                        std::to_string(limits.sockets) + " descriptors");
    gate = std::make_unique<admission::AdmissionController>(*site.admission);
  }
  traceTo(server, telemetry);
  server.directory = site.directory;
  server.list(site.instances);
  frontend::OpenAiFront front(server.dispatcher, site, server.clock, server.counters,
                              frontend::randomIds());
  const auto exporter = exporterFor(server, telemetry);
  net::Listener listener(server.io, site.listen, limits.clients(), front, server.clock,
                         server.timers, server.counters,
                         {.sharedPort = false,
                          .open = false,
                          .admissionController = gate.get(),
                          .descriptorBudget = &server.descriptorBudget});
  front.readyWhen([&listener] { return !listener.evacuated(); });
  Operations operations(
      {server, listener, site.setup, limits, [] { return true; }, front, site.admin.has_value()},
      nullptr);
  AdmissionWatch watch(server, gate.get());
  operations.admissionBy(watch);
  std::shared_ptr<SharedStateService> sharedState;
  if (site.shared) {
    sharedState = std::make_shared<SharedStateService>(server, site.setup, *site.shared,
                                                       site.coordination->name);
    operations.sharedBy(*sharedState);
    front.setTokenMeter(sharedState);
  }
  std::unique_ptr<Coordinator> coordinator;
  if (site.coordination) {
    coordinator =
        std::make_unique<Coordinator>(server, site.setup, *site.coordination, sharedState.get());
    operations.coordinatedBy(*coordinator);
  }
  const auto door = doorFor(site.admin, operations, server);
  sayListening("chat API", listener);
  operations.start();
  ShutdownOptions shutdown{kDoorOpenMs, std::nullopt, {}, {}};
  if (coordinator) {
    shutdown.leave = [&] { coordinator->resign(); };
    shutdown.hasLeft = [&] { return coordinator->out(); };
  }
  server.run(listener, shutdown, [&] {
    frontend::OperatorFile fresh = reread();
    if (fresh.admission.has_value() != site.admission.has_value()) {
      spdlog::warn("SIGHUP: admission is switched on or off with the next start only");
      fresh.admission = site.admission;
    }
    if (fresh.admission &&
        fresh.admission->total > frontend::maxAdmittedConnections(limits.sockets))
      throw ConfigError(
          "admission.connections.total is over what the descriptors of this process allow");
    if (fresh.coordination.has_value() != site.coordination.has_value()) {
      spdlog::warn("SIGHUP: coordination is switched on or off with the next start only");
      fresh.coordination = site.coordination;
    }
    if (fresh.shared.has_value() != site.shared.has_value()) {
      spdlog::warn("SIGHUP: shared is switched on or off with the next start only");
      fresh.shared = site.shared;
    }
    takeOver(std::move(fresh), site, server);
    if (sharedState)
      sharedState->reconfigure(*site.shared);
    if (coordinator)
      coordinator->reconfigure(*site.coordination);
    if (gate)
      listener.close(gate->reconfigure(*site.admission, server.clock.nowMs()));
    spdlog::info("SIGHUP: {} boxes, {} models, {} keys", site.instances.entries.size(),
                 site.models.size(), site.keys.size());
  });
}

}  // namespace inference_router::app
