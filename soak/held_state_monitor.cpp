#include "held_state_monitor.h"

#include <algorithm>

namespace inference_router::soak {

namespace {

std::string wholeMs(double ms) {
  return std::to_string(static_cast<long>(ms));
}

}  // namespace

HeldStateMonitor::Entry& HeldStateMonitor::note(const std::string& request,
                                                const char* what,
                                                int instance,
                                                double nowMs) {
  Entry& entry = requests_[request];
  measure(entry, nowMs);
  entry.history.push_back(wholeMs(nowMs) + " " + what + " at " + std::to_string(instance));
  return entry;
}

void HeldStateMonitor::measure(const Entry& entry, double nowMs) {
  if (uncovered(entry))
    maxHeldMs_ = std::max(maxHeldMs_, nowMs - entry.sinceMs);
}

void HeldStateMonitor::prefillArrived(const std::string& request, int instance, double nowMs) {
  note(request, "prefill arrived", instance, nowMs).prefillArrived = true;
}

void HeldStateMonitor::attemptBegan(const std::string& request, int instance, double nowMs) {
  ++note(request, "attempt began", instance, nowMs).out;
}

void HeldStateMonitor::attemptEnded(const std::string& request, int instance, double nowMs) {
  Entry& entry = note(request, "attempt ended", instance, nowMs);
  entry.out = std::max(0, entry.out - 1);
  entry.prefillArrived = false;
  entry.sinceMs = nowMs;
}

void HeldStateMonitor::reservationArrived(const std::string& request, int instance, double nowMs) {
  note(request, "reservation asked", instance, nowMs).sinceMs = nowMs;
}

void HeldStateMonitor::hold(const std::string& request, Kind kind, int instance, double nowMs) {
  Entry& entry =
      note(request, kind == Kind::kState ? "state held" : "reservation held", instance, nowMs);
  if (entry.held.empty())
    entry.sinceMs = std::max(entry.sinceMs, nowMs);
  entry.held[kind] = instance;
}

void HeldStateMonitor::drop(const std::string& request, Kind kind) {
  requests_[request].held.erase(kind);
}

void HeldStateMonitor::take(const std::string& request, int instance, double nowMs) {
  note(request, "taken", instance, nowMs).held.clear();
}

void HeldStateMonitor::release(const std::string& request, int instance, double nowMs) {
  note(request, "released", instance, nowMs).held.clear();
}

bool HeldStateMonitor::prefillHasArrived(const std::string& request) const {
  const auto it = requests_.find(request);
  return it != requests_.end() && it->second.prefillArrived;
}

bool HeldStateMonitor::attemptIsOut(const std::string& request) const {
  const auto it = requests_.find(request);
  return it != requests_.end() && it->second.out > 0;
}

void HeldStateMonitor::forgive(const std::function<bool(const std::string&)>& ofEnded) {
  std::erase_if(requests_, [&](const auto& entry) { return ofEnded(entry.first); });
}

void HeldStateMonitor::instanceEnded(int instance) {
  for (auto& [request, entry] : requests_)
    std::erase_if(entry.held, [instance](const auto& held) { return held.second == instance; });
}

std::vector<Violation> HeldStateMonitor::overdue(double nowMs) {
  std::vector<Violation> found;
  for (auto& [request, entry] : requests_) {
    measure(entry, nowMs);
    if (entry.reported || !uncovered(entry) || nowMs - entry.sinceMs <= limitMs_)
      continue;
    entry.reported = true;
    std::string detail = "held for over " + wholeMs(limitMs_) + " ms with no attempt out:";
    for (const std::string& line : entry.history)
      detail += " [" + line + "]";
    found.push_back({"held", request, std::move(detail)});
  }
  return found;
}

}  // namespace inference_router::soak
