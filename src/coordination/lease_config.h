/// The settings of a lease, and the check that they leave its holder enough time for a step.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace inference_router::coordination {

/// All times are in milliseconds.
struct LeaseConfig {
  std::string task;
  double ttlMs = 5'000;
  /// Largest relative error in the rate of any clock.
  double drift = 0.01;
  /// Longest duration of the task's steps, from the check of the lease to the store's response.
  double maxStepMs = 1'000;
  /// A request without a response within this time counts as lost.
  double requestTimeoutMs = 1'000;
  /// A holder without progress for this long releases the lease.
  double progressTimeoutMs = 30'000;
  /// Largest random delay of a request, for each candidate beyond the first.
  double spreadMs = 100;
  /// Number of routers known to compete for the lease.
  std::size_t candidates = 1;
  /// Largest random deviation of the renewal time, as a share of it.
  double renewJitter = 0.1;
};

/// Share of its validity after which a lease is renewed; the rest leaves time for two more
/// attempts.
inline constexpr double kRenewalShare = 1.0 / 3;

struct LeaseConfigError {
  std::string message;
};

/// Returns why the settings cannot be used, or nothing if they are valid.
std::optional<LeaseConfigError> validate(const LeaseConfig& config);

/// How long a holder may rely on its lease, counted from when it sent the request. The store
/// expires the lease after ttlMs by its own clock, and neither clock's rate is off by more than the
/// drift.
double validityMs(const LeaseConfig& config);

}  // namespace inference_router::coordination
