// Drains that discovery tells at a new address, with real processes: two routers, of which one gets
// a new configuration and SIGHUP while something goes wrong with the file or at the new address.
#include <gtest/gtest.h>

#include <algorithm>

#include "scenario.h"
#include "support/temporary_directory.h"

namespace inference_router::soak {
namespace {

constexpr int kMovedRouter = 0;
constexpr double kMoveMs = 300, kFaultDurationMs = 1'200, kOldAddressForMs = 1'500;
// After SIGHUP the new address counts 4 s later; the grace of a drain is 1 s.
constexpr double kDrainMs = kMoveMs + 5'000, kDrainDuringMoveMs = kMoveMs + 600;
constexpr double kLengthMs = kDrainMs + 2'500;
constexpr int kPrefill = 0, kDecode = 1;  // numbers of instances, which take turns in their roles

Plan planOf(FileFault file, DiscoveryFault newAddress, double drainMs = kDrainMs) {
  Plan plan;
  plan.routers = 2;
  plan.instances = 12;
  plan.clients = 16;
  plan.lengthMs = kLengthMs;
  plan.maxDeadlineMs = 7'000;
  plan.drainingRejects = true;
  PlannedFault move;
  move.kind = FaultKind::kMoveDiscovery;
  move.target = kMovedRouter;
  move.atMs = kMoveMs;
  move.forMs = kFaultDurationMs;
  move.move = {file, newAddress, kOldAddressForMs, kFaultDurationMs};
  plan.faults.push_back(move);
  for (const int instance : {kPrefill, kDecode}) {
    PlannedFault drain;
    drain.kind = FaultKind::kDrain;
    drain.target = instance;
    drain.atMs = drainMs;
    plan.faults.push_back(drain);
  }
  return plan;
}

void expectDrainsKept(const Plan& plan) {
  const TemporaryDirectory directory;
  const Outcome outcome =
      play(plan, {INFERENCE_ROUTER_PROGRAM, SYSTEM_CALL_FAULTS_LIBRARY}, directory.path);
  EXPECT_GT(outcome.served, 50U);
  for (const Violation& violation : outcome.violations)
    if (violation.rule == "drain" || violation.rule == "drain_missed")
      ADD_FAILURE() << violation.request << ": " << violation.detail;
}

// Guards against a new configuration that is lost because its file cannot be used at SIGHUP.
TEST(DiscoveryMove, KeepsDrainsIfFileIsMissingAtSighup) {
  expectDrainsKept(planOf(FileFault::kMissing, DiscoveryFault::kNone));
}

TEST(DiscoveryMove, KeepsDrainsIfFileIsCompletedAfterSighup) {
  expectDrainsKept(planOf(FileFault::kTruncated, DiscoveryFault::kNone));
}

TEST(DiscoveryMove, KeepsDrainsIfFileCannotBeUsedAtSighup) {
  expectDrainsKept(planOf(FileFault::kUnusable, DiscoveryFault::kNone));
}

// Guards against a new configuration that is lost because its file is replaced after SIGHUP.
TEST(DiscoveryMove, KeepsDrainsIfFileIsReplacedAfterSighup) {
  expectDrainsKept(planOf(FileFault::kOld, DiscoveryFault::kNone));
}

// Guards against an empty line that is taken for the list of an address that has not sent one.
TEST(DiscoveryMove, KeepsDrainsIfNewAddressSendsAnEmptyLineFirst) {
  expectDrainsKept(planOf(FileFault::kNone, DiscoveryFault::kEmptyLineFirst, kDrainDuringMoveMs));
}

TEST(DiscoveryMove, KeepsDrainsIfNewAddressRefusesConnectionsFirst) {
  expectDrainsKept(planOf(FileFault::kNone, DiscoveryFault::kRefused, kDrainDuringMoveMs));
}

TEST(DiscoveryMove, KeepsDrainsIfNewAddressAnswersWithErrorsFirst) {
  expectDrainsKept(planOf(FileFault::kNone, DiscoveryFault::kErrors, kDrainDuringMoveMs));
}

}  // namespace
}  // namespace inference_router::soak
