/// The `coordination` section of the operator's file: this router's name, the store that the fleet
/// shares, and the settings of leases and tasks. A router without the section does not coordinate
/// with others.
#pragma once

#include <optional>
#include <string>

#include "coordination/cleanup.h"
#include "coordination/etcd_client.h"
#include "coordination/maintenance.h"
#include "core/config_reader.h"

namespace inference_router::coordination {

struct Setup {
  std::string name;
  std::string sqlitePath;  ///< Empty: the store is etcd.
  std::optional<EtcdConfig> etcd;
  /// Applies to every task's lease, except for the task's name and longest step.
  LeaseConfig lease;
  double pollIntervalMs = 500;  ///< Interval between two reads of the store.
  MaintenanceConfig maintenance;
  Cleanup::Config cleanup;
  /// The section as JSON text; compared to detect a change on reload.
  std::string text;
};

/// Throws std::invalid_argument with the path of the faulty setting. warmupMs: the time that an
/// instance takes to warm up.
Setup setupOf(const core::ConfigReader& given, double warmupMs);

}  // namespace inference_router::coordination
