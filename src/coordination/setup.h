/// The `coordination` section of the operator's file: this router's name, the store that the fleet
/// shares, and the terms of leases and tasks. Without the section a router shares nothing.
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
  /// Of every task's lease except for its name and its longest step.
  LeaseConfig lease;
  double pollIntervalMs = 500;  ///< Between two reads of the store.
  MaintenanceConfig maintenance;
  Cleanup::Config cleanup;
  /// The section's JSON, to recognize a change.
  std::string text;
};

/// Throws std::invalid_argument with the path of what is wrong. warmupMs: that an instance takes to
/// warm up.
Setup setupOf(const core::ConfigReader& given, double warmupMs);

}  // namespace inference_router::coordination
