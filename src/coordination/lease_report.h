/// The operators' report on the leases of one router.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/lease.h"

namespace inference_router::coordination {

/// The state of one task's lease as known to this router.
struct LeaseStatus {
  std::string task;
  LeaseState state = LeaseState::kCandidate;
  std::string reason;
  std::string holder = "-";
  std::uint64_t fence = 0;
  double heldSeconds = 0;   ///< Time since its holder acquired it.
  double stateSeconds = 0;  ///< Time since the current state was entered.
  double renewalInMs = 0;   ///< Time to the next renewal; 0 if this router does not hold it.
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

/// One line for the store and one for each lease.
std::string toText(const LeaseReport& report);
/// One line of JSON.
std::string toJsonText(const LeaseReport& report);

}  // namespace inference_router::coordination
