/// The rules by which a store grants leases, as a state transition for each request. Used by stores
/// that decide in the router process, within one transaction for each request; the etcd store
/// implements the same rules with etcd's own leases. Performs no I/O. Times are milliseconds of the
/// store's clock.
#pragma once

#include <optional>

#include "coordination/lease_messages.h"

namespace inference_router::coordination {

/// The stored state of one task's lease. The fence outlives the lease and only ever increases.
struct LeaseCell {
  std::uint64_t fence = 0;            ///< The newest fence ever granted.
  Holder last;                        ///< The holder to which it was granted.
  std::uint64_t lastNumber = 0;       ///< The number of the request that it was granted for.
  std::optional<LeaseRecord> record;  ///< Absent if the lease is free.
  double untilMs = 0;                 ///< When the record expires.
  bool operator==(const LeaseCell&) const = default;
};

/// Executes the request on the cell if the rules allow it, and returns the response.
LeaseResponse decide(LeaseCell& cell,
                     const LeaseRequest& request,
                     double storeNowMs,
                     double unixMs);

/// Whether a write under this fence is allowed: the fence is the newest and not released.
bool accepts(const LeaseCell& cell, const Holder& holder, std::uint64_t fence);

}  // namespace inference_router::coordination
