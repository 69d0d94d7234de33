/// The requests and responses between a candidate for a lease and the store that grants it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace inference_router::coordination {

/// One process of the fleet: the router's name and a number that is new with each start.
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
  /// Of all requests of this process. A store ignores an acquire that is older than a granted one.
  std::uint64_t number = 0;
  /// Acquire: the highest fence seen, what is granted lies above. Renew and release: the own fence.
  std::uint64_t fence = 0;
  /// Measured by the store's clock from the moment in which it carries out the request.
  double ttlMs = 0;
  /// Steps that the holder has completed, for whoever inspects the store.
  std::uint64_t progress = 0;
};

/// A lease as the store keeps it.
struct LeaseRecord {
  Holder holder;
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
  std::uint64_t progress = 0;
  /// Unix time of the grant in milliseconds by the holder's clock; informational only.
  double acquiredUnixMs = 0;
  bool operator==(const LeaseRecord&) const = default;
};

enum class LeaseResult {
  kGranted,      ///< Acquired or renewed.
  kHeld,         ///< Another holds it; remainingMs bounds for how long if it is not renewed.
  kLost,         ///< Renew, release: this holder does not hold it under this fence.
  kReleased,     ///< It was held and is free now.
  kUnavailable,  ///< No usable answer of the store: whether the request took effect is unknown.
};

struct LeaseResponse {
  /// Of the request that this answers.
  std::uint64_t number = 0;
  LeaseResult result = LeaseResult::kUnavailable;
  /// Granted: the new fence. Held or lost: the fence in force, 0 if there is none.
  std::uint64_t fence = 0;
  double remainingMs = 0;
  /// The lease as the store found it, if there is one.
  std::optional<LeaseRecord> record;
};

}  // namespace inference_router::coordination
