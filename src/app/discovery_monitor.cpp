#include "app/discovery_monitor.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace inference_router::app {

namespace {

// Between two lines on a list that stays unconfirmed for one reason.
constexpr double kLogIntervalMs = 5'000;

// Nothing before the first call.
std::string callsOf(const frontend::DiscoveryStatus& status) {
  if (status.calls == 0)
    return "";
  const std::string lastEnd =
      status.lastEnd ? fmt::format(", the last that failed: {}", nameOf(*status.lastEnd)) : "";
  return fmt::format("; calls begun {}, waiting {}{}", status.calls, status.waitingCalls, lastEnd);
}

}  // namespace

DiscoveryMonitor::DiscoveryMonitor(const core::Clock& clock, core::Counters& counters)
    : clock_(clock),
      counters_(counters),
      reason_(fleet::ListDoubt::kNotListed),
      unconfirmedSinceMs_(clock.nowMs()),
      countedMs_(unconfirmedSinceMs_),
      loggedMs_(countedMs_) {}

void DiscoveryMonitor::observe(const frontend::DiscoveryStatus& status) {
  const double nowMs = clock_.nowMs();
  count(status);
  const bool changed = status.list.reason() != reason_;
  const bool isDue = !status.list.confirmed() && nowMs >= loggedMs_ + kLogIntervalMs;
  if (!changed && !isDue)
    return;
  if (!reason_)
    unconfirmedSinceMs_ = status.list.sinceMs();
  reason_ = status.list.reason();
  loggedMs_ = nowMs;
  if (reason_)
    return spdlog::warn("{}", describe(status, nowMs));
  spdlog::info("the endpoint list is confirmed by {} after {:.0f} ms{}",
               net::textOf(status.address), nowMs - unconfirmedSinceMs_, callsOf(status));
}

// discovery.list_confirmed is one ahead of discovery.list_lost while the list is confirmed.
void DiscoveryMonitor::count(const frontend::DiscoveryStatus& status) {
  const double nowMs = clock_.nowMs();
  if (reason_)
    counters_["discovery.unconfirmed_ms"] += static_cast<std::uint64_t>(nowMs - countedMs_);
  countedMs_ = nowMs;
  const auto reason = status.list.reason();
  if (reason == reason_)
    return;
  if (!reason)
    ++counters_["discovery.list_confirmed"];
  else
    ++counters_[std::string("discovery.unconfirmed.") + nameOf(*reason)];
  if (reason && !reason_)
    ++counters_["discovery.list_lost"];
}

std::string describe(const frontend::DiscoveryStatus& status, double nowMs) {
  const std::string address = net::textOf(status.address);
  const double forMs = nowMs - status.list.sinceMs();
  if (status.list.confirmed())
    return fmt::format("the endpoint list is confirmed by {} since {:.0f} ms", address, forMs);
  const std::string next =
      status.nextCallMs ? fmt::format("calls {} in {:.0f} ms", address, *status.nextCallMs - nowMs)
                        : fmt::format("waits for {}", address);
  return fmt::format("the endpoint list is not confirmed since {:.0f} ms ({}): {}{}", forMs,
                     nameOf(*status.list.reason()), next, callsOf(status));
}

}  // namespace inference_router::app
