/// The interface of the running router to the commands of the admin endpoint.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/request_metrics.h"

namespace inference_router::control {

/// The arguments of a command, without its name.
using Arguments = std::vector<std::string>;

/// The result of a command.
struct CommandResult {
  bool ok;              ///< false: the command had no effect
  std::string message;  ///< for the operator; may be empty
};

/// Numbers of instances.
struct InstanceCounts {
  std::size_t listed = 0;
  std::size_t ejected = 0;  ///< listed instances that currently get no requests
};

enum class ReportFormat { kText, kJson };

/// The operators' view of the running router. A report consists of complete lines; it is empty if
/// the feature that it covers is not configured. Must be used by one thread only.
class AdminApi {
 public:
  using ResultHandler = std::function<void(CommandResult)>;

  virtual ~AdminApi() = default;

  virtual CommandResult ready() = 0;
  virtual CommandResult exclude(const std::string& instanceId) = 0;
  virtual CommandResult include(const std::string& instanceId) = 0;
  /// Reports not ready and closes client connections after their responses or once they are idle,
  /// until activate(). New connections are still served.
  virtual CommandResult evacuate() = 0;
  virtual CommandResult activate() = 0;

  virtual const core::RequestMetrics& metrics() = 0;
  /// The names of the classes in metrics(), in the same order.
  virtual const std::vector<std::string>& classNames() = 0;
  virtual std::size_t openRequests() = 0;
  virtual InstanceCounts instanceCounts() = 0;

  virtual std::string instancesReport() = 0;
  /// Whether the configuration file and the endpoint list in use are the latest.
  virtual std::string configurationReport() { return ""; }
  virtual std::string admissionReport() { return ""; }
  virtual std::string leasesReport(ReportFormat /*format*/) { return ""; }
  virtual std::string maintenanceReport() { return ""; }
  virtual std::string sharedStateReport(ReportFormat /*format*/) { return ""; }

  /// Changes the maintenance plan. onResult is called exactly once, when the change is stored or
  /// has failed, possibly before this call returns.
  virtual void changeMaintenance(
      const Arguments& /*arguments*/,
      ResultHandler onResult) {  // NOLINT(performance-unnecessary-value-param): overrides keep it
    onResult({.ok = false, .message = "coordination is not configured"});
  }
};

}  // namespace inference_router::control
