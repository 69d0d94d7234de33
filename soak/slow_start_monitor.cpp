#include "slow_start_monitor.h"

#include <algorithm>
#include <cmath>

namespace inference_router::soak {

namespace {

constexpr double kFewAllowed = 30;
constexpr double kToldShare = 2.0 / 3;  // of the attempts; more break the rule

}  // namespace

double fallBound(double allowed) {
  const double deviations = allowed < kFewAllowed ? 3 : 2;
  return allowed + deviations * std::sqrt(allowed) + deviations;
}

void SlowStartMonitor::started(int instance, double atMs) {
  starts_[instance] = {.atMs = atMs, .window = {}, .fell = false};
}

bool SlowStartMonitor::arrived(int instance, bool told, double atMs) {
  const auto found = starts_.find(instance);
  if (found == starts_.end() || found->second.fell)
    return false;
  Start& start = found->second;
  start.window.push_back({atMs, told});
  while (start.window.front().atMs <= atMs - rule_.windowMs)
    start.window.pop_front();
  const bool beganInSlowStart = start.window.front().atMs < start.atMs + rule_.warmupMs;
  if (!beganInSlowStart)
    return false;
  ++arrivals_;
  const double allowed =
      rule_.overloadFactor * rule_.initialShare * rule_.capacityPerS * rule_.windowMs / 1'000;
  const double share = static_cast<double>(start.window.size()) / fallBound(allowed);
  maxShareOfBound_ = std::max(maxShareOfBound_, share);
  if (share <= 1)
    return false;
  fall(instance, start, atMs);
  return true;
}

void SlowStartMonitor::fall(int instance, Start& start, double atMs) {
  start.fell = true;
  ++falls_;
  const auto told = std::count_if(start.window.begin(), start.window.end(),
                                  [](const Attempt& attempt) { return attempt.told; });
  const std::size_t all = start.window.size();
  if (static_cast<double>(told) <= kToldShare * static_cast<double>(all))
    return;
  violations_.push_back({"slow_start", "",
                         "instance " + std::to_string(instance) + " fell " +
                             std::to_string(std::lround(atMs - start.atMs)) +
                             " ms after its start, by " + std::to_string(all) + " attempts, " +
                             std::to_string(told) + " of them from routers that were told"});
}

}  // namespace inference_router::soak
