// What an operator's file says under `coordination`: this router's name, the store it shares
// with the others, and how leases and tasks are to go. Without it a router shares nothing, and
// none of this is there.
#pragma once

#include <optional>
#include <string>

#include "coordination/cleanup.h"
#include "coordination/etcd_store.h"
#include "coordination/maintenance.h"
#include "core/config_reader.h"

namespace inference_router::coordination {

struct Setup {
  std::string name;
  std::string sqlitePath;  // empty: etcd
  std::optional<EtcdConfig> etcd;
  LeaseConfig lease;     // of every task; its name and longest step are the task's
  double watchMs = 500;  // between two readings of the store
  MaintenanceConfig maintenance;
  Cleanup::Config cleanup;
  std::string text;  // as it stood in the file: a change is known by it
};

// Throws std::invalid_argument with the path of what is wrong. coldMs: that an instance takes to be
// warm.
Setup setupOf(const core::ConfigReader& given, double coldMs);

}  // namespace inference_router::coordination
