/// What the commands of the admin endpoint act on.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/request_metrics.h"

namespace inference_router::control {

/// The arguments of a command, without its name.
using Arguments = std::vector<std::string>;

/// What a command did, or why it did nothing.
struct CommandResult {
  bool ok;
  std::string message;  ///< for the operator; may be empty
};

struct InstanceCounts {
  std::size_t listed = 0;
  std::size_t ejected = 0;  ///< of the listed ones: those that get no requests now
};

enum class ReportFormat { kText, kJson };

/// The running router as operators see and change it. A report consists of whole lines; it is empty
/// where the router does not have what it reports on. Belongs to one thread.
class AdminApi {
 public:
  using ResultHandler = std::function<void(CommandResult)>;

  virtual ~AdminApi() = default;

  virtual CommandResult ready() = 0;
  virtual CommandResult exclude(const std::string& instanceId) = 0;
  virtual CommandResult include(const std::string& instanceId) = 0;
  /// Sends all clients away until activate().
  virtual CommandResult evacuate() = 0;
  virtual CommandResult activate() = 0;

  virtual const core::RequestMetrics& metrics() = 0;
  /// The names of the classes that metrics() counts by, in its order.
  virtual const std::vector<std::string>& classNames() = 0;
  virtual std::size_t openRequests() = 0;
  virtual InstanceCounts instanceCounts() = 0;

  virtual std::string instancesReport() = 0;
  virtual std::string admissionReport() { return ""; }
  virtual std::string leasesReport(ReportFormat /*format*/) { return ""; }
  virtual std::string maintenanceReport() { return ""; }
  virtual std::string sharedStateReport(ReportFormat /*format*/) { return ""; }

  /// Changes the maintenance plan. onResult is called exactly once, when the change is stored or
  /// has failed, which may be before this returns.
  virtual void changeMaintenance(
      const Arguments& /*arguments*/,
      ResultHandler onResult) {  // NOLINT(performance-unnecessary-value-param): overrides keep it
    onResult({.ok = false, .message = "no coordination is set up here"});
  }
};

}  // namespace inference_router::control
