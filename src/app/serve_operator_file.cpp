#include "app/serve_operator_file.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "app/admin_service.h"

namespace inference_router::app {

using frontend::OperatorFile;

namespace {

// The operator's file names no limit of memory.
constexpr std::size_t kMemoryMb = 512;
constexpr const char* kMaxConnectionsKey = "admission.connections.total";

// The decision module numbers names by their order: those there are keep their places, and more
// may follow.
template <class Names>
void requireSamePlaces(const Names& current, const Names& reread, const char* what) {
  if (reread.size() < current.size() || !std::equal(current.begin(), current.end(), reread.begin()))
    throw ConfigError(
        ConfigInput::kFile, "settings",
        std::string(what) + " were renamed, moved or removed: that needs a new start");
}

std::unique_ptr<admission::AdmissionController> makeAdmissionController(const OperatorFile& file,
                                                                        const Limits& limits) {
  if (!file.admission)
    return nullptr;
  if (file.admission->total > frontend::maxAdmittedConnections(limits.sockets))
    throw ConfigError(ConfigInput::kSystem, kMaxConnectionsKey,
                      "admission.connections.total cannot be met: the system gives only " +
                          std::to_string(limits.sockets) + " descriptors");
  return std::make_unique<admission::AdmissionController>(*file.admission);
}

std::unique_ptr<Server> makeServer(boost::asio::io_context& io,
                                   const core::Clock& clock,
                                   const OperatorFile& file,
                                   const Limits& limits,
                                   const Telemetry& telemetry) {
  auto server = std::make_unique<Server>(
      io, clock, file.setup,
      ServerOptions{.seed = file.seed,
                    .instanceConnections = limits.instances(),
                    .idleCloseMs = file.idleCloseMs,
                    .protocol = frontend::openaiProtocol(file),
                    .descriptors = limits.sockets,
                    .requestMemoryBytes = limits.requestMemoryBytes(),
                    .instanceReceiveBytes = socketMemory(limits).instanceReceiveBytes});
  attachTrace(*server, telemetry);
  server->directory = file.directory;
  server->list(file.instances);
  return server;
}

std::shared_ptr<SharedStateService> makeSharedState(Server& server, const OperatorFile& file) {
  if (!file.shared)
    return nullptr;
  return std::make_shared<SharedStateService>(server, file.setup, *file.shared,
                                              file.coordination->name);
}

std::unique_ptr<Coordinator> makeCoordinator(Server& server,
                                             const OperatorFile& file,
                                             SharedStateService* sharedState) {
  if (!file.coordination)
    return nullptr;
  return std::make_unique<Coordinator>(server, file.setup, *file.coordination, sharedState);
}

// A part of the file that is switched on or off by a new start only: the current state stays.
template <class Part>
void keepSwitched(const std::optional<Part>& current,
                  std::optional<Part>& reread,
                  const char* what) {
  if (reread.has_value() == current.has_value())
    return;
  spdlog::warn("SIGHUP: {} is switched on or off with the next start only", what);
  reread = current;
}

/// The parts of one router, in the order in which they depend on each other.
class OperatorFileRouter {
 public:
  OperatorFileRouter(const OperatorFile& file, const Telemetry& telemetry);
  /// Returns when the process is to end. source: of the configuration, for reloads.
  void run(ConfigurationFile<OperatorFile>& source);

 private:
  void reload(OperatorFile reread);

  OperatorFile file_;
  boost::asio::io_context io_;
  const core::SystemClock clock_;
  const Limits limits_;
  const std::unique_ptr<admission::AdmissionController> admissionController_;
  const std::unique_ptr<Server> server_;
  frontend::OpenAiFront front_;
  const std::unique_ptr<OtlpExporter> exporter_;
  net::Listener listener_;
  ExclusionStore exclusions_;
  HotRestart hotRestart_;
  LifecycleTracker lifecycles_;
  AdmissionWatch admissionWatch_;
  const std::shared_ptr<SharedStateService> sharedState_;
  const std::unique_ptr<Coordinator> coordinator_;
  AdminService adminService_;
  const std::unique_ptr<net::LineServer> adminEndpoint_;
};

OperatorFileRouter::OperatorFileRouter(const OperatorFile& file, const Telemetry& telemetry)
    : file_(file),
      limits_{availableDescriptors(file.sockets), kMemoryMb},
      admissionController_(makeAdmissionController(file_, limits_)),
      server_(makeServer(io_, clock_, file_, limits_, telemetry)),
      front_(server_->dispatcher, file_, clock_, server_->counters, frontend::randomIds()),
      exporter_(makeExporter(*server_, telemetry)),
      listener_(io_,
                file_.listen,
                limits_.clients(),
                front_,
                clock_,
                server_->timers,
                server_->counters,
                {.sharedPort = false,
                 .open = false,
                 .admissionController = admissionController_.get(),
                 .descriptorBudget = &server_->descriptorBudget,
                 .connectionLimits = connectionLimits(limits_, *server_)}),
      exclusions_(*server_, nullptr),
      hotRestart_({.server = *server_,
                   .listener = listener_,
                   .front = front_,
                   .setup = file_.setup,
                   .limits = limits_,
                   .listConfirmed = [] { return true; }},
                  nullptr,
                  exclusions_),
      lifecycles_(*server_, file_.setup),
      admissionWatch_(*server_, admissionController_.get()),
      sharedState_(makeSharedState(*server_, file_)),
      coordinator_(makeCoordinator(*server_, file_, sharedState_.get())),
      adminService_({.server = *server_,
                     .listener = listener_,
                     .setup = file_.setup,
                     .hotRestart = hotRestart_,
                     .exclusions = exclusions_,
                     .lifecycles = lifecycles_,
                     .admission = &admissionWatch_,
                     .coordinator = coordinator_.get(),
                     .sharedState = sharedState_.get()}),
      adminEndpoint_(makeAdminEndpoint(file_.admin, adminService_, *server_)) {
  front_.setReadinessCheck([this] { return !listener_.evacuated(); });
  if (sharedState_)
    front_.setTokenMeter(sharedState_);
}

void OperatorFileRouter::run(ConfigurationFile<OperatorFile>& source) {
  logListening("chat API", listener_);
  hotRestart_.start();
  if (adminEndpoint_)
    lifecycles_.start();
  ShutdownOptions shutdown{.acceptForMs = kAcceptAfterStopMs};
  if (coordinator_) {
    shutdown.resign = [this] { coordinator_->resign(); };
    shutdown.hasResigned = [this] { return coordinator_->hasResigned(); };
  }
  server_->run(listener_, std::move(shutdown),
               reloadSteps<OperatorFile>(
                   source, [this](OperatorFile reread) { reload(std::move(reread)); }));
}

void OperatorFileRouter::reload(OperatorFile reread) {
  keepSwitched(file_.admission, reread.admission, "admission");
  if (reread.admission &&
      reread.admission->total > frontend::maxAdmittedConnections(limits_.sockets))
    throw ConfigError(
        ConfigInput::kSystem, kMaxConnectionsKey,
        "admission.connections.total is over what the descriptors of this process allow");
  keepSwitched(file_.coordination, reread.coordination, "coordination");
  keepSwitched(file_.shared, reread.shared, "shared");
  applyReload(std::move(reread), file_, *server_);
  if (sharedState_)
    sharedState_->reconfigure(*file_.shared);
  if (coordinator_)
    coordinator_->reconfigure(*file_.coordination);
  if (admissionController_)
    listener_.close(admissionController_->reconfigure(*file_.admission, clock_.nowMs()));
  spdlog::info("SIGHUP: {} boxes, {} models, {} keys", file_.instances.entries.size(),
               file_.models.size(), file_.keys.size());
}

}  // namespace

void applyReload(OperatorFile reread, OperatorFile& current, Server& server) {
  requireSamePlaces(current.setup.names.classes, reread.setup.names.classes, "classes");
  requireSamePlaces(current.setup.names.tenants, reread.setup.names.tenants, "tenants");
  requireSamePlaces(current.setup.names.kinds, reread.setup.names.kinds, "kinds");
  requireSamePlaces(current.setup.names.zones, reread.setup.names.zones, "zones");
  if (reread.listen != current.listen || reread.sockets != current.sockets)
    spdlog::warn("SIGHUP: listen and sockets change with the next start only");
  if (reread.admin != current.admin)
    spdlog::warn("SIGHUP: admin_addr changes with the next start only");
  reread.listen = current.listen;
  reread.admin = current.admin;
  reread.sockets = current.sockets;
  reread.instances.version = current.instances.version + 1;
  current = std::move(reread);
  server.reconfigure(current.setup.settings, frontend::openaiProtocol(current));
  server.directory.update(current.directory.all(), /*complete=*/true, server.pool);
  server.list(current.instances);
}

void serveOperatorFile(ConfigurationFile<OperatorFile> file, const Telemetry& telemetry) {
  OperatorFileRouter(file.read(), telemetry).run(file);
}

}  // namespace inference_router::app
