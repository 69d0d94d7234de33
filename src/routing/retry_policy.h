// How often and how long a request is tried.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Token bucket for retries: they stay a share of the arrivals, so that they cannot multiply the
/// traffic while instances fail.
class RetryBudget {
 public:
  /// Adds the part of one arrival. `recentArrivals` is the decayed number of arrivals at this node
  /// and limits what can be saved up.
  void recordArrival(double recentArrivals);

  /// Whether a retry may be made.
  bool isAvailable() const { return tokens_ >= 1; }

  /// Counts a retry.
  void spend() { tokens_ -= 1; }

 private:
  /// Upper bound of the retries that are saved up.
  static constexpr double kMaxTokens = 30;

  double tokens_ = kMaxTokens;
};

/// Attempts that a request takes from its start: a prefill and a decode.
constexpr int kAttemptsFromStart = 2;
/// Attempts that it takes from a KV cache: a decode.
constexpr int kAttemptsFromKvCache = 1;

/// Whether the limit of attempts leaves room for `count` more.
bool hasAttemptsLeft(const Settings& settings, const RequestRecord& request, int count);

/// When the last attempt of the record, which is sent to the instance at `now`, times out. Leaves
/// time for one more attempt where there may be one: an early time-out under congestion would only
/// prefill the prompt twice.
Time attemptTimeoutAt(const Settings& settings,
                      const RequestRecord& request,
                      const Instance& instance,
                      Time now);

}  // namespace inference_router::routing
