/// How a store decides on the requests of candidates, as one transition of a lease's state. For
/// stores that decide by themselves, within one transaction each; the etcd store follows the same
/// rules by means of etcd's own leases. No I/O; times are those of the store's clock, in
/// milliseconds.
#pragma once

#include <optional>

#include "coordination/lease_messages.h"

namespace inference_router::coordination {

/// All that is kept of one task. The fence outlives the lease: it only ever goes up.
struct LeaseCell {
  std::uint64_t fence = 0;            ///< The newest that was ever granted,
  Holder last;                        ///< to whom,
  std::uint64_t lastNumber = 0;       ///< and for which of its requests.
  std::optional<LeaseRecord> record;  ///< None: the lease is free.
  double untilMs = 0;                 ///< When the record expires.
  bool operator==(const LeaseCell&) const = default;
};

/// Carries out the request on the cell, as far as the rules allow it.
LeaseResponse decide(LeaseCell& cell,
                     const LeaseRequest& request,
                     double storeNowMs,
                     double unixMs);

/// Whether an effect under this fence may be carried out: it is the newest and not released.
bool accepts(const LeaseCell& cell, const Holder& holder, std::uint64_t fence);

}  // namespace inference_router::coordination
