/// The terms of a lease and the check that they leave its holder enough time to work.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace inference_router::coordination {

/// All times are in milliseconds.
struct LeaseConfig {
  std::string task;
  double ttlMs = 5'000;
  /// Largest relative error of any clock against another.
  double drift = 0.01;
  /// Of the task: from the check of the lease to the store's answer.
  double maxStepMs = 1'000;
  /// A request without a response by then counts as lost.
  double requestTimeoutMs = 1'000;
  /// A holder that makes no progress for so long steps down.
  double progressTimeoutMs = 30'000;
  /// Random delay of requests, for each candidate beyond the first.
  double spreadMs = 100;
  /// How many routers compete for the lease, as far as is known.
  std::size_t candidates = 1;
  /// Random part of the time to a renewal.
  double renewJitter = 0.1;
};

/// The share of its validity after which a lease is renewed: two more attempts fit into the rest.
inline constexpr double kRenewalShare = 1.0 / 3;

struct LeaseConfigError {
  std::string message;
};

/// Why these terms cannot be used; nothing if they can.
std::optional<LeaseConfigError> validate(const LeaseConfig& config);

/// How long a holder may rely on its lease, from before it sent the request. The store expires the
/// lease after ttlMs of its own clock, and neither clock is off by more than the drift.
double validityMs(const LeaseConfig& config);

}  // namespace inference_router::coordination
