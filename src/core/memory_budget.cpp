#include "core/memory_budget.h"

#include <algorithm>
#include <utility>

namespace inference_router::core {

namespace {

// The share of the limit up to which each use may add to the total.
constexpr std::array<double, kMemoryUses> kCeilings{0.25, 0.5, 0.75, 0.9, 1.0};

}  // namespace

const char* nameOf(MemoryUse use) {
  constexpr std::array<const char*, kMemoryUses> kNames{"read_ahead", "input", "large_requests",
                                                        "small_requests", "answers"};
  return kNames.at(static_cast<std::size_t>(use));
}

bool MemoryBudget::Totals::fits(MemoryUse use, std::size_t moreBytes) const {
  const double ceiling = static_cast<double>(limit) * kCeilings.at(at(use));
  return static_cast<double>(total) + static_cast<double>(moreBytes) <= ceiling;
}

void MemoryBudget::Totals::change(MemoryUse use, std::size_t fromBytes, std::size_t toBytes) {
  std::size_t& used = held.at(at(use));
  used = used - fromBytes + toBytes;
  total = total - fromBytes + toBytes;
  peak.at(at(use)) = std::max(peak.at(at(use)), used);
  peakTotal = std::max(peakTotal, total);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : totals_(std::move(other.totals_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this != &other) {
    resize(0);
    totals_ = std::move(other.totals_);
    use_ = other.use_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool MemoryCharge::tryResize(std::size_t bytes) {
  if (totals_ && bytes > bytes_ && !totals_->fits(use_, bytes - bytes_))
    return false;
  resize(bytes);
  return true;
}

void MemoryCharge::resize(std::size_t bytes) {
  if (!totals_)
    return;
  totals_->change(use_, bytes_, bytes);
  bytes_ = bytes;
}

}  // namespace inference_router::core
