#include "routing/outlier_detector.h"

#include <algorithm>

namespace inference_router::routing {
namespace {

// Lower bound of the failure rate that mustEject an instance.
constexpr double kMinEjectionFailureRate = 0.35;
// Lower bound of the same, as a multiple of the failure rate of the best peer.
constexpr double kMinEjectionPeerMultiple = 3;
// Successful trials in a row that reinstate an instance that fails part of its requests.
constexpr int kTrialsAfterFailures = 3;
// Successful trials that reinstate an instance that could not be reached.
constexpr int kTrialsAfterNoConnection = 1;

const char* describe(FailureReason reason) {
  switch (reason) {
    case FailureReason::kErrors:
      return "errors";
    case FailureReason::kNoAnswers:
      return "no answers";
    case FailureReason::kNoConnection:
      return "no connection";
    case FailureReason::kLostConnections:
      return "lost connections";
    case FailureReason::kSilent:
      return "silent";
  }
  return "";
}

}  // namespace

std::optional<std::string> OutlierDetector::recordSuccess(Instance& instance,
                                                          Time sentAt,
                                                          Time now) const {
  EjectionState& state = instance.ejection;
  state.failureRate.add(0);
  // An instance that fails part of its requests may well answer one trial: it takes several, and
  // attempts that were sent before the ejection are none.
  if (!state.ejected || (state.trialsLeft > 1 && sentAt < state.ejectedAt))
    return std::nullopt;
  state.nextTrialAt = now;
  --state.trialsLeft;
  if (state.trialsLeft > 0)
    return std::nullopt;
  state.reinstate();
  return "using " + instance.endpoint.instance.value + " again";
}

std::optional<std::string> OutlierDetector::recordFailure(Instance& instance,
                                                          Time sentAt,
                                                          FailureReason reason,
                                                          Time now) const {
  EjectionState& state = instance.ejection;
  const bool unreachable = reason == FailureReason::kNoConnection;
  state.failureRate.add(1);
  // Connections that were being opened when the instance was ejected are no trials that failed.
  if (state.ejected && unreachable && sentAt < state.ejectedAt)
    return std::nullopt;
  const bool mustEject =
      state.ejected || unreachable || state.failureRate.mean() > allowedFailureRate(instance);
  if (!mustEject)
    return std::nullopt;
  const bool wasEjected = state.ejected;
  state.eject(now, unreachable ? kTrialsAfterNoConnection : kTrialsAfterFailures);
  if (wasEjected)
    return std::nullopt;
  return "passing over " + instance.endpoint.instance.value + ": " + describe(reason);
}

// Relative to the best peer in use: where all fail alike, ejecting one gains nothing.
double OutlierDetector::allowedFailureRate(const Instance& instance) const {
  double best = 1;
  for (const auto& [id, peer] : registry_.instances()) {
    const bool inUse = peer.isListed() && !peer.ejection.ejected;
    if (&peer != &instance && peer.role == instance.role && inUse)
      best = std::min(best, peer.ejection.failureRate.mean());
  }
  return std::max(kMinEjectionFailureRate, best * kMinEjectionPeerMultiple);
}

}  // namespace inference_router::routing
