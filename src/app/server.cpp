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

// An idle connection is retired at this share of the time after which the box closes it, so that no
// request is ever written to one that is being closed.
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
constexpr std::uint64_t kAnswerBytes = 16 << 20;  // of a box's answer, far above the longest stream

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

Engine::Engine(boost::asio::io_context& context,
               const core::Clock& time,
               const routing::wire::Setup& setup,
               std::uint64_t seed,
               std::size_t boxConnections,
               double idleCloseMs,
               upstream::BoxDialect dialect,
               std::size_t descriptors)
    : io(context),
      clock(time),
      ledger(admission::DescriptorBudget::sharesOf(descriptors)),
      loop(io, clock, deadlines),
      conductor(setup.settings, seed, clock, deadlines, counters),
      membership(seed),
      pool(io,
           clock,
           deadlines,
           counters,
           {boxConnections, core::toMs(setup.settings.limits.dialTimeout), idleCloseMs * kIdleShare,
            kAnswerBytes}),
      boxes(std::move(dialect),
            conductor,
            pool,
            directory,
            clock,
            deadlines,
            counters,
            core::toMs(setup.settings.contract.releaseWithin)),
      signals_(io, SIGTERM, SIGINT, SIGUSR1) {
  for (std::size_t i = 0; i < kOwnDescriptors; ++i)
    ledger.force(admission::Account::kOwn);
  pool.accountTo(ledger, admission::Account::kBoxes);
  signals_.add(SIGHUP);
  conductor.onLog([](const std::string& text) { spdlog::info("module: {}", text); });
}

void Engine::reconfigure(const routing::Settings& settings, upstream::BoxDialect dialect) {
  conductor.reconfigure(settings);
  pool.dialWithin(core::toMs(settings.limits.dialTimeout));
  boxes.reconfigure(std::move(dialect), core::toMs(settings.contract.releaseWithin));
}

void Engine::run(net::Listener& listener, const Ending& ending, std::function<void()> reload) {
  listener_ = &listener;
  ending_ = ending;
  reload_ = std::move(reload);
  onSignal();
  letReloadsThrough();
  io.run();
  printCounters(counters);
}

void Engine::onSignal() {
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

void Engine::stop() {
  const bool replaced = succeeded();
  spdlog::info("stopping: {}, then finishing what was taken",
               replaced ? "another process serves what arrives" : "serving what still arrives");
  if (!stoppedMs_)
    stoppedMs_ = clock.nowMs();
  if (ending_.leave)
    ending_.leave();
  if (ending_.graceMs)
    conductor.stopping(*ending_.graceMs);
  listener_->drain(replaced ? 0 : ending_.doorOpenMs, [this] { finish(); });
  if (replaced)
    ending_.handOver();
}

// Also while the program drains: what it has taken still needs the list. A file that cannot be read
// or used leaves everything as it was.
void Engine::reload() {
  try {
    reload_();
    ++counters["reloads.done"];
  } catch (const std::exception& fault) {
    ++counters["reloads.failed"];
    spdlog::error("SIGHUP: the configuration cannot be used, the old one stays: {}", fault.what());
  }
}

// The clients have their answers; what is held for them is let go before the program ends.
void Engine::finish() {
  const double now = clock.nowMs();
  if (!finishedMs_)
    finishedMs_ = now;
  const bool leaving = ending_.hasLeft && !ending_.hasLeft() && now < *stoppedMs_ + kLeaveMs;
  const bool cameBack = listener_->size() > 0;  // from a successor that ended with streams untaken
  if (boxes.releasing() > 0 || leaving || cameBack || now < *finishedMs_ + kLastWordsMs) {
    deadlines.add(clock.nowMs() + 5, [this] { finish(); });
    return;
  }
  io.stop();
}

namespace {

void traceTo(Engine& engine, const Telemetry& telemetry) {
  if (!telemetry.trace)
    return;
  const auto log = [](const auto& what) {
    if (const std::string line = traceLine(what); !line.empty())
      spdlog::info("trace: {}", line);
  };
  engine.conductor.onEvent(log);
  engine.conductor.onAction(log);
  engine.pool.onWire([](const std::string& line) { spdlog::info("wire: {}", line); });
}

std::unique_ptr<OtlpExporter> exporterFor(Engine& engine, const Telemetry& telemetry) {
  if (!telemetry.collector)
    return nullptr;
  auto exporter =
      std::make_unique<OtlpExporter>(engine.io, engine.clock, engine.deadlines, engine.counters,
                                     *telemetry.collector, telemetry.intervalMs);
  exporter->accountTo(engine.ledger);
  return exporter;
}

std::unique_ptr<net::LineServer> doorFor(const std::optional<net::Endpoint>& address,
                                         Operations& operations,
                                         Engine& engine) {
  if (!address)
    return nullptr;
  auto door = std::make_unique<net::LineServer>(
      engine.io, *address,
      net::LineServer::LaterAnswer(
          [&operations](std::string_view line, net::LineServer::Reply reply) {
            control::handle(operations, line, std::move(reply));
          }),
      engine.clock, engine.deadlines, engine.counters,
      net::LineServer::Limits{.lineBytes = control::kLongestPlanLine});
  door->accountTo(engine.ledger);
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

Engine::Ending platformEnding(const routing::Settings& settings) {
  if (!settings.resume)
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
  Engine engine(io, clock, config.setup, config.seed, limits.boxes(), config.idleCloseMs,
                frontend::platformDialect(), limits.sockets);
  frontend::PlatformFront front(engine.conductor, config.setup.names, engine.clock,
                                engine.counters);
  frontend::Discovery discovery(engine.io, engine.clock, engine.deadlines, engine.counters, engine,
                                engine.directory, engine.pool, config.setup.names,
                                fleet::DiscoveryBackoff(config.setup.settings.nodes, config.seed));
  discovery.accountTo(engine.ledger);
  traceTo(engine, telemetry);
  if (!config.known.is_null())
    discovery.known(config.known);
  discovery.watch(config.discovery);
  const auto exporter = exporterFor(engine, telemetry);
  net::Listener listener(engine.io, config.listen, limits.clients(), front, engine.clock,
                         engine.deadlines, engine.counters,
                         {.sharedPort = config.admin.has_value(),
                          .open = false,
                          .gate = nullptr,
                          .ledger = &engine.ledger});
  front.readyWhen([&listener] { return !listener.evacuated(); });
  Operations operations({engine, listener, config.setup, limits, [&] { return discovery.spoken(); },
                         front, config.admin.has_value()},
                        folderFor(config));
  const auto door = doorFor(config.admin, operations, engine);
  sayListening(config.name, listener);
  operations.start();
  Engine::Ending ending = platformEnding(config.setup.settings);
  ending.successor = [&operations] { return operations.hasSuccessor(); };
  ending.handOver = [&operations] { operations.handOver(); };
  ending.hasLeft = [&operations] { return !operations.handsOver(); };
  // $GW_DISCOVERY holds what counted at the start: only a change within the file says that it has
  // moved.
  engine.run(listener, ending, [&, inFile = config.discoveryInFile]() mutable {
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
void takeOver(frontend::OperatorFile fresh, frontend::OperatorFile& site, Engine& engine) {
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
  fresh.boxes.version = site.boxes.version + 1;
  site = std::move(fresh);
  engine.reconfigure(site.setup.settings, frontend::openaiDialect(site));
  engine.directory.update(site.directory.all(), /*whole=*/true, engine.pool);
  engine.list(site.boxes);
}

void serve(const frontend::OperatorFile& first,
           const Telemetry& telemetry,
           const Reread<frontend::OperatorFile>& reread) {
  frontend::OperatorFile site = first;
  boost::asio::io_context io;
  const core::SystemClock clock;
  const Limits limits{descriptorsOf(site.sockets)};
  Engine engine(io, clock, site.setup, site.seed, limits.boxes(), site.idleCloseMs,
                frontend::openaiDialect(site), limits.sockets);
  std::unique_ptr<admission::AdmissionController> gate;
  if (site.admission) {
    if (site.admission->total > frontend::mostAdmitted(limits.sockets))
      throw ConfigError("admission.connections.total cannot be met: the system gives only " +
                        std::to_string(limits.sockets) + " descriptors");
    gate = std::make_unique<admission::AdmissionController>(*site.admission);
  }
  traceTo(engine, telemetry);
  engine.directory = site.directory;
  engine.list(site.boxes);
  frontend::OpenAiFront front(engine.conductor, site, engine.clock, engine.counters,
                              frontend::randomIds());
  const auto exporter = exporterFor(engine, telemetry);
  net::Listener listener(
      engine.io, site.listen, limits.clients(), front, engine.clock, engine.deadlines,
      engine.counters,
      {.sharedPort = false, .open = false, .gate = gate.get(), .ledger = &engine.ledger});
  front.readyWhen([&listener] { return !listener.evacuated(); });
  Operations operations(
      {engine, listener, site.setup, limits, [] { return true; }, front, site.admin.has_value()},
      nullptr);
  AdmissionWatch watch(engine, gate.get());
  operations.admissionBy(watch);
  std::shared_ptr<Sharer> sharer;
  if (site.shared) {
    sharer = std::make_shared<Sharer>(engine, site.setup, *site.shared, site.coordination->name);
    operations.sharedBy(*sharer);
    front.meterBy(sharer);
  }
  std::unique_ptr<Coordinator> coordinator;
  if (site.coordination) {
    coordinator =
        std::make_unique<Coordinator>(engine, site.setup, *site.coordination, sharer.get());
    operations.coordinatedBy(*coordinator);
  }
  const auto door = doorFor(site.admin, operations, engine);
  sayListening("chat API", listener);
  operations.start();
  Engine::Ending ending{kDoorOpenMs, std::nullopt, {}, {}};
  if (coordinator) {
    ending.leave = [&] { coordinator->resign(); };
    ending.hasLeft = [&] { return coordinator->out(); };
  }
  engine.run(listener, ending, [&] {
    frontend::OperatorFile fresh = reread();
    if (fresh.admission.has_value() != site.admission.has_value()) {
      spdlog::warn("SIGHUP: admission is switched on or off with the next start only");
      fresh.admission = site.admission;
    }
    if (fresh.admission && fresh.admission->total > frontend::mostAdmitted(limits.sockets))
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
    takeOver(std::move(fresh), site, engine);
    if (sharer)
      sharer->reconfigure(*site.shared);
    if (coordinator)
      coordinator->reconfigure(*site.coordination);
    if (gate)
      listener.close(gate->reconfigure(*site.admission, engine.clock.nowMs()));
    spdlog::info("SIGHUP: {} boxes, {} models, {} keys", site.boxes.entries.size(),
                 site.models.size(), site.keys.size());
  });
}

}  // namespace inference_router::app
