/// The commands of the admin endpoint on the running program.
#pragma once

#include <string>

#include "app/admission_watch.h"
#include "app/coordinator.h"
#include "app/exclusion_store.h"
#include "app/hot_restart.h"
#include "app/lifecycle_tracker.h"
#include "app/server.h"
#include "app/shared_state_service.h"
#include "control/admin_api.h"

namespace inference_router::app {

/// Carries out each command on the part that it concerns; all parts must outlive this object.
/// Belongs to the thread of the server's loop.
class AdminService final : public control::AdminApi {
 public:
  struct Context {
    Server& server;
    net::Listener& listener;
    const routing::wire::Setup& setup;
    HotRestart& hotRestart;
    ExclusionStore& exclusions;
    LifecycleTracker& lifecycles;
    const frontend::Discovery* discovery = nullptr;  ///< null: instances are in the file
    AdmissionWatch* admission = nullptr;             ///< null: there are no admission rules
    Coordinator* coordinator = nullptr;              ///< null: this router shares nothing
    SharedStateService* sharedState = nullptr;       ///< null: it shares nothing but leases
  };

  explicit AdminService(const Context& context) : context_(context) {}

  control::CommandResult ready() override;
  control::CommandResult exclude(const std::string& instanceId) override;
  control::CommandResult include(const std::string& instanceId) override;
  control::CommandResult evacuate() override;
  control::CommandResult activate() override;

  const core::RequestMetrics& metrics() override { return context_.server.dispatcher.metrics(); }
  const std::vector<std::string>& classNames() override { return context_.setup.names.classes; }
  std::size_t openRequests() override { return context_.server.dispatcher.openRequests(); }
  control::InstanceCounts instanceCounts() override;

  std::string instancesReport() override { return context_.lifecycles.report(); }
  std::string configurationReport() override;
  std::string admissionReport() override;
  std::string leasesReport(control::ReportFormat format) override;
  std::string maintenanceReport() override;
  std::string sharedStateReport(control::ReportFormat format) override;
  void changeMaintenance(const control::Arguments& arguments, ResultHandler onResult) override;

 private:
  control::CommandResult setExcluded(const std::string& instanceId, bool excluded);

  Context context_;
};

}  // namespace inference_router::app
