#include "pressure_report.h"

#include <cmath>
#include <iostream>

#include "quantile.h"

namespace inference_router::soak {

namespace {

constexpr int kInstances = 8, kClients = 24;
constexpr int kSockets = 1'024;
constexpr int kRoles = 3, kDecode = 1;  // instances prefill, decode or do both, by number
constexpr double kStartMs = 500, kAfterMs = 1'000;
constexpr long kKbOfMb = 1'024;

std::string namesOf(const PressureOptions& options) {
  std::string names;
  for (const PressureKind kind : options.kinds)
    names += (names.empty() ? "" : "+") + std::string(nameOf(kind));
  return names;
}

long millisecondsAt(const std::vector<double>& orderedMs, double share) {
  return orderedMs.empty() ? -1 : std::lround(quantile(orderedMs, share));
}

}  // namespace

Plan pressurePlan(const PressureOptions& options) {
  Plan plan;
  plan.routers = 1;
  plan.instances = kInstances;
  plan.clients = kClients;
  plan.lengthMs = kStartMs + options.forMs + kAfterMs;
  plan.limits.sockets = kSockets;
  plan.answers = options.answers;
  plan.reconnects = true;
  plan.onOneCore = true;
  const auto groups = static_cast<int>(options.kinds.size());
  for (const PressureKind kind : options.kinds)
    plan.pressure.push_back({.kind = kind,
                             .router = 0,
                             .connections = std::max(1, options.connections / groups),
                             .atMs = kStartMs,
                             .forMs = options.forMs});
  for (int i = 0; options.prefillHangs && i < kInstances; ++i) {
    if (i % kRoles == kDecode)
      continue;
    PlannedFault hang;
    hang.kind = FaultKind::kHang;
    hang.target = i;
    hang.forMs = plan.lengthMs;
    plan.faults.push_back(hang);
  }
  return plan;
}

void reportPressure(const PressureOptions& options,
                    const Programs& programs,
                    const std::string& folder) {
  const Outcome outcome = play(pressurePlan(options), programs, folder);
  std::cout << namesOf(options) << " x" << options.connections
            << (options.prefillHangs ? ", prefill hangs" : "") << ": "
            << outcome.peakMemoryKb / kKbOfMb << " MB, sockets of all "
            << outcome.peakSocketMemoryKb / kKbOfMb << " MB; served " << outcome.latenciesMs.size()
            << " of " << outcome.ordinary << ", p50 " << millisecondsAt(outcome.latenciesMs, 0.5)
            << " ms, p99 " << millisecondsAt(outcome.latenciesMs, 0.99) << " ms, max "
            << millisecondsAt(outcome.latenciesMs, 1) << " ms; refused " << outcome.refused
            << "; breaks " << outcome.violations.size() << std::endl;
  std::size_t shown = 0;
  for (const Violation& one : outcome.violations)
    if (++shown <= 4)
      std::cout << "  " << one.rule << ' ' << one.request << ": " << one.detail << '\n';
}

}  // namespace inference_router::soak
