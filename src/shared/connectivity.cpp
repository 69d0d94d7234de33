#include "shared/connectivity.h"

#include <algorithm>
#include <array>
#include <random>

namespace inference_router::shared {

const char* nameOf(ConnectivityState state) {
  constexpr std::array<const char*, 4> kNames{"connected", "late", "alone", "returning"};
  return kNames[static_cast<std::size_t>(state)];
}

Connectivity::Connectivity(ConnectivityConfig config, std::uint64_t seed, double nowMs)
    : config_(config), sinceMs_(nowMs), digestMs_(nowMs), reportMs_(nowMs) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<> draw(1, 1 + config.jitterShare);
  delayedMs_ = config.delayedMs * draw(random);
  isolatedMs_ = std::max(delayedMs_, config.isolatedMs * draw(random));
}

double Connectivity::silenceMs(double nowMs) const {
  return nowMs - std::min(digestMs_, reportMs_);
}

void Connectivity::enter(ConnectivityState state, double nowMs) {
  if (state == state_)
    return;
  state_ = state;
  sinceMs_ = nowMs;
  if (state == ConnectivityState::kRejoining)
    rejoinSequence_ = reportSequence_;
}

// An isolated router has rejoined once a digest includes a report that it has written since.
void Connectivity::onDigest(std::uint64_t acknowledged, double nowMs) {
  digestMs_ = nowMs;
  acknowledged_ = std::max(acknowledged_, acknowledged);
  tick(nowMs);
  if (state_ == ConnectivityState::kRejoining && acknowledged_ > rejoinSequence_)
    enter(ConnectivityState::kConnected, nowMs);
}

void Connectivity::onReportAccepted(std::uint64_t reportSequence, double nowMs) {
  reportMs_ = nowMs;
  reportSequence_ = std::max(reportSequence_, reportSequence);
  tick(nowMs);
}

void Connectivity::tick(double nowMs) {
  const double silence = silenceMs(nowMs);
  if (silence >= isolatedMs_)
    return enter(ConnectivityState::kIsolated, nowMs);
  // Both reads and writes have to work: to the other routers, a router that cannot write is as
  // unknown as one that can do neither.
  if (state_ == ConnectivityState::kIsolated && silence < isolatedMs_ / 2)
    enter(ConnectivityState::kRejoining, nowMs);
  if (state_ == ConnectivityState::kConnected && silence >= delayedMs_)
    return enter(ConnectivityState::kDelayed, nowMs);
  // The state is left at half of the limit at which it was entered.
  if (state_ == ConnectivityState::kDelayed && silence < delayedMs_ / 2)
    enter(ConnectivityState::kConnected, nowMs);
}

}  // namespace inference_router::shared
