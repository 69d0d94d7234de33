// Retry budget, attempt limits and attempt timeouts.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Token bucket that limits retries to a share of the arrivals, so that they cannot multiply the
/// traffic while instances fail.
class RetryBudget {
 public:
  /// Adds the tokens of one arrival. `recentArrivals`, the decayed number of arrivals at this node,
  /// limits the size of the bucket.
  void recordArrival(double recentArrivals);

  /// Whether a retry is allowed.
  bool isAvailable() const { return tokens_ >= 1; }

  /// Consumes the token of one retry.
  void spend() { tokens_ -= 1; }

 private:
  /// Maximum number of tokens in the bucket.
  static constexpr double kMaxTokens = 30;

  double tokens_ = kMaxTokens;
};

/// Number of attempts that a request needs without a KV cache: a prefill and a decode.
constexpr int kAttemptsFromStart = 2;
/// Number of attempts that a request needs with a KV cache: a decode.
constexpr int kAttemptsFromKvCache = 1;

/// Whether the attempt limit allows `count` more attempts.
bool hasAttemptsLeft(const Settings& settings, const RequestRecord& request, int count);

/// When the latest attempt of the request, which is sent to the instance at `now`, times out.
/// Leaves time for another attempt if one is possible, but not more: under congestion, an early
/// timeout would only cause the prompt to be prefilled twice.
Time attemptTimeoutAt(const Settings& settings,
                      const RequestRecord& request,
                      const Instance& instance,
                      Time now);

}  // namespace inference_router::routing
