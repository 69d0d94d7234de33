#include "app/memory_monitor.h"

#include <spdlog/spdlog.h>

#include <array>

namespace inference_router::app {

namespace {

constexpr double kIntervalMs = 1'000;
constexpr double kShortShare = 0.5;  // of the limit
constexpr std::size_t kBytesPerKb = 1'024;
constexpr std::array kRefusalCounters{"memory.refused_input", "memory.refused_requests",
                                      "memory.refused_answers"};

}  // namespace

void MemoryMonitor::start(const net::Listener& listener) {
  listener_ = &listener;
  tick();
}

void MemoryMonitor::tick() {
  const core::MemoryBudget& memory = dispatcher_.memory();
  const std::uint64_t refusedNow = refused();
  const bool isShort =
      static_cast<double>(memory.total()) > static_cast<double>(memory.limit()) * kShortShare ||
      refusedNow > loggedRefused_;
  if (isShort)
    spdlog::warn("memory is short: {}, refused since the last line {}", heldText(),
                 refusedNow - loggedRefused_);
  else if (short_)
    spdlog::info("memory is no longer short: {}", heldText());
  short_ = isShort;
  loggedRefused_ = refusedNow;
  timer_ = timers_.schedule(clock_.nowMs() + kIntervalMs, [this] { tick(); });
}

std::uint64_t MemoryMonitor::refused() {
  std::uint64_t sum = 0;
  for (const char* name : kRefusalCounters)
    sum += counters_[name];
  return sum;
}

std::string MemoryMonitor::heldText() const {
  const core::MemoryBudget& memory = dispatcher_.memory();
  std::string uses;
  for (std::size_t i = 0; i < core::kMemoryUses; ++i) {
    const auto use = static_cast<core::MemoryUse>(i);
    uses += fmt::format(" {} {},", core::nameOf(use), memory.held(use) / kBytesPerKb);
  }
  return fmt::format("{} of {} KiB held,{} connections of clients {}, to instances {}, requests {}",
                     memory.total() / kBytesPerKb, memory.limit() / kBytesPerKb, uses,
                     listener_->size(), pool_.size(), dispatcher_.openRequests());
}

void MemoryMonitor::updateCounters() {
  const core::MemoryBudget& memory = dispatcher_.memory();
  for (std::size_t i = 0; i < core::kMemoryUses; ++i) {
    const auto use = static_cast<core::MemoryUse>(i);
    counters_[std::string("memory.peak_kb.") + core::nameOf(use)] = memory.peak(use) / kBytesPerKb;
  }
  counters_["memory.peak_kb.total"] = memory.peakTotal() / kBytesPerKb;
}

}  // namespace inference_router::app
