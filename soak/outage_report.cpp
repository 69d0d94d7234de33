#include "outage_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <numeric>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "quantile.h"
#include "scenario.h"

namespace inference_router::soak {

namespace {

constexpr double kStartMs = 500, kAfterReturnMs = 8'000;
constexpr int kInstances = 100;
constexpr std::array<std::string_view, 3> kStartNames{"move", "loss", "silence"};

PlannedFault faultOf(const OutageOptions& options, int router) {
  PlannedFault fault;
  fault.target = router;
  fault.atMs = kStartMs;
  fault.forMs = options.forMs;
  if (options.start == OutageStart::kMove) {
    fault.kind = FaultKind::kMoveDiscovery;
    fault.move.newAddress = options.way;
    return fault;
  }
  fault.kind = FaultKind::kDiscoveryDown;
  const bool silent = options.start == OutageStart::kSilence;
  fault.outage = {options.way, silent ? OpenWatches::kSilent : OpenWatches::kClosed};
  return fault;
}

Plan planOf(const OutageOptions& options) {
  Plan plan;
  plan.routers = options.routers;
  plan.instances = kInstances;
  plan.clients = 0;
  plan.lengthMs = kStartMs + options.forMs + kAfterReturnMs;
  plan.discoveryLoad = options.load;
  for (int router = 0; router < options.routers; ++router)
    plan.faults.push_back(faultOf(options, router));
  // The news of the return.
  PlannedFault drain;
  drain.kind = FaultKind::kDrain;
  drain.atMs = kStartMs + options.forMs / 2;
  plan.faults.push_back(drain);
  return plan;
}

template <class Value>
double sumOf(const std::vector<DiscoveryUse>& all, Value DiscoveryUse::*member) {
  return std::accumulate(all.begin(), all.end(), 0.0, [&](double sum, const DiscoveryUse& use) {
    return sum + static_cast<double>(use.*member);
  });
}

void print(const OutageOptions& options, const std::vector<DiscoveryUse>& all) {
  std::vector<double> delaysMs;
  std::size_t maxConnections = 0;
  for (const DiscoveryUse& use : all) {
    if (use.maxReturnDelayMs)
      delaysMs.push_back(*use.maxReturnDelayMs);
    maxConnections = std::max(maxConnections, use.maxConnections);
  }
  std::sort(delaysMs.begin(), delaysMs.end());
  const auto routers = static_cast<double>(options.routers);
  std::cout << options.routers << " routers, "
            << kStartNames.at(static_cast<std::size_t>(options.start)) << ", "
            << nameOf(options.way) << ", " << options.forMs << " ms, " << options.load.callsPerS
            << (options.load.refuses ? " calls/s else 503" : " calls/s") << ": list after "
            << std::lround(quantile(delaysMs, 0.5)) << " ms (median), "
            << std::lround(quantile(delaysMs, 1)) << " ms (last); without it "
            << options.routers - static_cast<int>(delaysMs.size()) << "; for each router "
            << sumOf(all, &DiscoveryUse::routerCalls) / routers << " calls begun, "
            << sumOf(all, &DiscoveryUse::calls) / routers << " seen, "
            << std::lround(sumOf(all, &DiscoveryUse::listBytes) / routers) << " bytes of lists; "
            << maxConnections << " connections at most" << std::endl;
}

}  // namespace

OutageStart outageStartNamed(const std::string& name) {
  const auto* const found = std::find(kStartNames.begin(), kStartNames.end(), name);
  if (found == kStartNames.end())
    throw std::invalid_argument("no outage begins with " + name);
  return static_cast<OutageStart>(found - kStartNames.begin());
}

void reportOutage(const OutageOptions& options,
                  const Programs& programs,
                  const std::string& folder) {
  const Outcome outcome = play(planOf(options), programs, folder);
  print(options, outcome.discovery);
}

}  // namespace inference_router::soak
