// What a store does with the asks of candidates, as one step from one state to the next: for stores
// that decide by themselves, within one transaction each. An instance that has leases of its own
// keeps to the same rules by its own means. No I/O; the time is that of the store's clock.
#pragma once

#include <optional>

#include "coordination/lease.h"

namespace inference_router::coordination {

// All that is kept of one task. The fence outlives the lease: it may only go up.
struct LeaseCell {
  std::uint64_t fence = 0;            // the newest that was ever granted
  Holder last;                        // to whom,
  std::uint64_t lastNumber = 0;       // and by which of its asks
  std::optional<LeaseRecord> record;  // none: it is free
  double untilMs = 0;                 // of the record
  bool operator==(const LeaseCell&) const = default;
};

// Changes the cell as the ask wants, if it may.
LeaseAnswer decide(LeaseCell& cell, const LeaseAsk& ask, double storeNowMs, double unixMs);

// Whether an effect under this fence is in order: it is the newest, and was not given back.
bool accepts(const LeaseCell& cell, const Holder& who, std::uint64_t fence);

}  // namespace inference_router::coordination
