#include "app/admin_service.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "app/discovery_monitor.h"
#include "app/reload_retry.h"

namespace inference_router::app {

using control::CommandResult;
using control::ReportFormat;
using fleet::Membership;

CommandResult AdminService::ready() {
  if (context_.listener.evacuated())
    return {.ok = false, .message = "evacuated"};
  if (!context_.listener.isOpen() || !context_.hotRestart.mayServe())
    return {.ok = false, .message = "not yet"};
  return {.ok = true, .message = "ready"};
}

CommandResult AdminService::exclude(const std::string& instanceId) {
  return setExcluded(instanceId, true);
}

CommandResult AdminService::include(const std::string& instanceId) {
  return setExcluded(instanceId, false);
}

CommandResult AdminService::setExcluded(const std::string& instanceId, bool excluded) {
  const ExclusionStore::ChangeResult change = context_.exclusions.change(instanceId, excluded);
  if (change.result == Membership::Result::kUnknownInstance)
    return {.ok = false, .message = "no instance has this id"};
  if (change.result == Membership::Result::kFull)
    return {.ok = false, .message = "too many instances are marked"};
  const std::string done = instanceId + (excluded ? " is excluded" : " is included");
  if (!change.stored)
    return {.ok = false,
            .message = done + " in this process only, until the shared folder can be written"};
  return {.ok = true, .message = done};
}

CommandResult AdminService::evacuate() {
  if (!context_.listener.evacuated())
    spdlog::info("evacuating: clients are sent away");
  context_.listener.evacuate();
  if (context_.coordinator != nullptr)
    context_.coordinator->resign();
  return {.ok = true,
          .message = "evacuating, " + std::to_string(openRequests()) + " requests open"};
}

CommandResult AdminService::activate() {
  if (context_.listener.evacuated())
    spdlog::info("active again");
  context_.listener.activate();
  if (context_.coordinator != nullptr)
    context_.coordinator->rejoin();
  return {.ok = true, .message = "active"};
}

control::InstanceCounts AdminService::instanceCounts() {
  const Membership& membership = context_.server.membership;
  control::InstanceCounts counts{.listed = membership.listed().size(), .ejected = 0};
  for (const auto& [id, entry] : membership.listed())
    if (membership.excluded(id) || context_.server.dispatcher.isEjectedOrSilent(id))
      ++counts.ejected;
  return counts;
}

std::string AdminService::configurationReport() {
  const double nowMs = context_.server.clock.nowMs();
  std::string report = describe(context_.server.reloads.pending(), nowMs) + "\n";
  if (context_.discovery != nullptr)
    report += describe(context_.discovery->status(), nowMs) + "\n";
  return report;
}

std::string AdminService::admissionReport() {
  return context_.admission == nullptr ? "" : context_.admission->report();
}

std::string AdminService::leasesReport(ReportFormat format) {
  if (context_.coordinator == nullptr)
    return "";
  return context_.coordinator->leasesReport(format);
}

std::string AdminService::maintenanceReport() {
  return context_.coordinator == nullptr ? "" : context_.coordinator->maintenanceReport();
}

std::string AdminService::sharedStateReport(ReportFormat format) {
  return context_.sharedState == nullptr ? "" : context_.sharedState->report(format);
}

void AdminService::changeMaintenance(const control::Arguments& arguments, ResultHandler onResult) {
  if (context_.coordinator == nullptr)
    return AdminApi::changeMaintenance(arguments, std::move(onResult));
  context_.coordinator->changeMaintenance(arguments, std::move(onResult));
}

}  // namespace inference_router::app
