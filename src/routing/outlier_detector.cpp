#include "routing/outlier_detector.h"

#include <algorithm>

namespace inference_router::routing {
namespace {

// Failure rate that an instance may always have without being ejected.
constexpr double kMinEjectionFailureRate = 0.35;
// Failure rate that an instance may have, as a multiple of that of its best peer.
constexpr double kMinEjectionPeerMultiple = 3;
// Successful trials needed to reinstate an instance that was ejected for its failure rate.
constexpr int kTrialsAfterFailures = 3;
// Successful trials needed to reinstate an instance that was unreachable.
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
  // An instance that fails only some of its requests may well pass one trial, so several are
  // needed. Attempts sent before the ejection do not count as trials.
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
  // Connection attempts started before the ejection do not count as failed trials.
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

// Relative to the best peer in use: if all peers fail equally, ejecting one gains nothing.
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
