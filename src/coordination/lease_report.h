/// The report on a router's leases that operators read.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/lease.h"

namespace inference_router::coordination {

/// Of one task's lease, as this router knows it.
struct LeaseStatus {
  std::string task;
  LeaseState state = LeaseState::kCandidate;
  std::string reason;
  std::string holder = "-";
  std::uint64_t fence = 0;
  double heldSeconds = 0;   ///< Since its holder acquired it.
  double stateSeconds = 0;  ///< Since the present state was entered.
  double renewalInMs = 0;   ///< 0 if another router holds it.
  std::uint64_t steps = 0;
  std::uint64_t refusedByFence = 0;
  Lease::Counts counts;
};

struct LeaseReport {
  std::string router;
  std::string store;
  bool storeReadable = false;
  std::string storeError;
  std::vector<LeaseStatus> leases;
};

/// A line for the store and one for each lease.
std::string toText(const LeaseReport& report);
/// One line of JSON.
std::string toJsonText(const LeaseReport& report);

}  // namespace inference_router::coordination
