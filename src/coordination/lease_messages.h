/// The requests and responses between a candidate for a lease and the store that grants it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace inference_router::coordination {

/// One process of the fleet: the router's name and a number that is new at each start.
struct Holder {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Holder&) const = default;
};

enum class LeaseOperation { kAcquire, kRenew, kRelease };

struct LeaseRequest {
  LeaseOperation operation = LeaseOperation::kAcquire;
  std::string task;
  Holder holder;
  /// Sequence number among all lease requests of this process. A store ignores an acquire that is
  /// older than a granted one.
  std::uint64_t number = 0;
  /// Acquire: the highest fence seen so far; a granted fence is higher. Renew and release: the
  /// fence under which the lease is held.
  std::uint64_t fence = 0;
  /// Measured by the store's clock from the moment at which it executes the request.
  double ttlMs = 0;
  /// Number of steps that the holder has completed; informational only.
  std::uint64_t progress = 0;
};

/// A lease as recorded in the store.
struct LeaseRecord {
  Holder holder;
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
  std::uint64_t progress = 0;
  /// Unix time of the grant in milliseconds, by the holder's clock; informational only.
  double acquiredUnixMs = 0;
  bool operator==(const LeaseRecord&) const = default;
};

enum class LeaseResult {
  kGranted,      ///< Acquired or renewed.
  kHeld,         ///< Held by another; remainingMs is an upper bound unless it is renewed.
  kLost,         ///< Renew, release: not held by this holder under this fence.
  kReleased,     ///< The lease was held by this holder and is free now.
  kUnavailable,  ///< No usable response; whether the request took effect is unknown.
};

struct LeaseResponse {
  /// The number of the request that this responds to.
  std::uint64_t number = 0;
  LeaseResult result = LeaseResult::kUnavailable;
  /// Granted: the new fence. Held or lost: the current fence, or 0 if nobody holds the lease.
  std::uint64_t fence = 0;
  double remainingMs = 0;
  /// The lease's current record, if there is one.
  std::optional<LeaseRecord> record;
};

}  // namespace inference_router::coordination
