// Drains that discovery tells as it returns from a long outage, with real processes: a router for
// each way in which discovery can be out of reach.
#include <gtest/gtest.h>

#include <array>
#include <string>

#include "scenario.h"
#include "support/temporary_directory.h"

namespace inference_router::soak {
namespace {

constexpr double kOutageMs = 300, kOutageDurationMs = 6'500;
constexpr double kReturnMs = kOutageMs + kOutageDurationMs;
constexpr double kDrainMs = kReturnMs - 1'500;
constexpr double kLengthMs = kReturnMs + 2'500;
// What discovery has at its return counts as told at once. The grace of a drain is 1 s, of which
// the router may be held up for 0.15 s.
constexpr double kReturnLimitMs = 1'000 - 150;
constexpr int kPrefill = 0, kDecode = 1;  // numbers of instances, which take turns in their roles

constexpr std::array kWays{DiscoveryFault::kEmptyLineFirst, DiscoveryFault::kSilent,
                           DiscoveryFault::kRefused,        DiscoveryFault::kErrors,
                           DiscoveryFault::kUnconnected,    DiscoveryFault::kForgotten,
                           DiscoveryFault::kClosed,         DiscoveryFault::kPartialList};

PlannedFault faultAt(FaultKind kind, int target, double atMs) {
  PlannedFault fault;
  fault.kind = kind;
  fault.target = target;
  fault.atMs = atMs;
  fault.forMs = kOutageDurationMs;
  return fault;
}

// A play with two drains shortly before the return.
Plan basicPlan() {
  Plan plan;
  plan.routers = static_cast<int>(kWays.size());
  plan.instances = 12;
  plan.clients = 4;
  plan.lengthMs = kLengthMs;
  plan.maxDeadlineMs = 7'000;
  plan.drainingRejects = true;
  for (const int instance : {kPrefill, kDecode})
    plan.faults.push_back(faultAt(FaultKind::kDrain, instance, kDrainMs));
  return plan;
}

Plan planOfOutage(OpenWatches openWatches) {
  Plan plan = basicPlan();
  for (std::size_t way = 0; way < kWays.size(); ++way) {
    PlannedFault outage = faultAt(FaultKind::kDiscoveryDown, static_cast<int>(way), kOutageMs);
    outage.outage = {kWays.at(way), openWatches};
    plan.faults.push_back(outage);
  }
  return plan;
}

void expectNewsAtReturn(const Plan& plan) {
  const TemporaryDirectory directory;
  const Outcome outcome =
      play(plan, {INFERENCE_ROUTER_PROGRAM, SYSTEM_CALL_FAULTS_LIBRARY}, directory.path);
  EXPECT_GT(outcome.served, 50U);
  for (std::size_t way = 0; way < kWays.size(); ++way) {
    const auto& delayMs = outcome.discovery.at(way).maxReturnDelayMs;
    EXPECT_TRUE(delayMs && *delayMs <= kReturnLimitMs)
        << nameOf(kWays.at(way)) << ": the list was called for "
        << (delayMs ? std::to_string(*delayMs) + " ms after the return" : "by nobody");
  }
  for (const Violation& violation : outcome.violations)
    if (violation.rule == "drain" || violation.rule == "drain_missed")
      ADD_FAILURE() << violation.request << ": " << violation.detail;
}

// Guards against a router that waits out a long retry delay while discovery is back.
TEST(DiscoveryReturn, IsNoticedAfterAMoveToAnAddressOutOfReach) {
  Plan plan = basicPlan();
  for (std::size_t way = 0; way < kWays.size(); ++way) {
    PlannedFault move = faultAt(FaultKind::kMoveDiscovery, static_cast<int>(way), kOutageMs);
    move.move.newAddress = kWays.at(way);
    move.move.oldAddressForMs = 1'500;
    plan.faults.push_back(move);
  }
  expectNewsAtReturn(plan);
}

TEST(DiscoveryReturn, IsNoticedAfterALostWatch) {
  expectNewsAtReturn(planOfOutage(OpenWatches::kClosed));
}

TEST(DiscoveryReturn, IsNoticedAfterASilentWatch) {
  expectNewsAtReturn(planOfOutage(OpenWatches::kSilent));
}

TEST(DiscoveryReturn, IsNoticedByAProcessThatStartsDuringTheOutage) {
  Plan plan = planOfOutage(OpenWatches::kClosed);
  for (std::size_t way = 0; way < kWays.size(); ++way)
    plan.faults.push_back(faultAt(FaultKind::kKill, static_cast<int>(way), kOutageMs + 500));
  expectNewsAtReturn(plan);
}

}  // namespace
}  // namespace inference_router::soak
