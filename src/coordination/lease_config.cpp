#include "coordination/lease_config.h"

#include <cmath>

namespace inference_router::coordination {

namespace {

constexpr double kMaxDrift = 0.2;
constexpr std::size_t kMaxTaskNameBytes = 128;

/// The validity that remains for a step if the first renewal is sent as late as possible and its
/// response is lost.
double remainingAfterLostRenewalMs(const LeaseConfig& config) {
  const double latestRenewalShare = kRenewalShare * (1 + config.renewJitter);
  return validityMs(config) * (1 - latestRenewalShare) - config.requestTimeoutMs;
}

LeaseConfigError tooShort(const LeaseConfig& config) {
  return {"the lease is too short: what remains of it at its renewal, less the drift and " +
          std::to_string(std::lround(config.requestTimeoutMs)) +
          " ms for a response, is less than the longest step of " +
          std::to_string(std::lround(config.maxStepMs)) + " ms"};
}

}  // namespace

std::optional<LeaseConfigError> validate(const LeaseConfig& config) {
  if (config.task.empty() || config.task.size() > kMaxTaskNameBytes)
    return LeaseConfigError{"the task's name must have 1 to 128 bytes"};
  if (!(config.drift >= 0 && config.drift <= kMaxDrift))
    return LeaseConfigError{"drift must be a share from 0 to 0.2"};
  if (!(config.ttlMs > 0 && std::isfinite(config.ttlMs)))
    return LeaseConfigError{"the lease duration must be above 0"};
  if (!(config.requestTimeoutMs > 0 && config.maxStepMs > 0 && config.progressTimeoutMs > 0 &&
        config.spreadMs >= 0))
    return LeaseConfigError{
        "the request timeout, the longest step and the progress timeout must be above 0, the "
        "spread must not be negative"};
  if (remainingAfterLostRenewalMs(config) < config.maxStepMs)
    return tooShort(config);
  return std::nullopt;
}

double validityMs(const LeaseConfig& config) {
  return config.ttlMs * (1 - config.drift) / (1 + config.drift);
}

}  // namespace inference_router::coordination
