/// The budget of memory for all that clients and instances make the process hold. Every holder has
/// a charge, which gives its bytes back when it is destroyed. No I/O. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <memory>

namespace inference_router::core {

/// What memory is held for, in the order in which it is refused when memory is short: what a
/// request under way needs comes last.
enum class MemoryUse {
  kReadAhead,      ///< requests that wait behind another one on their connection
  kInput,          ///< incomplete requests
  kLargeRequests,  ///< requests under way with more than MemoryBudget::kSmallRequestBytes
  kSmallRequests,  ///< other requests under way
  kAnswers,        ///< parts of instances' answers, and output to clients
};
inline constexpr std::size_t kMemoryUses = 5;

/// The name that is used in counters and log lines.
const char* nameOf(MemoryUse use);

class MemoryBudget {
 public:
  static constexpr std::size_t kSmallRequestBytes = std::size_t{16} * 1024;

  /// Without a limit, nothing is refused.
  MemoryBudget() : totals_(std::make_shared<Totals>()) {}

  /// Sets the limit. What is held stays, even above the limit.
  void setLimit(std::size_t bytes) { totals_->limit = bytes; }
  std::size_t limit() const { return totals_->limit; }
  std::size_t held(MemoryUse use) const { return totals_->held[at(use)]; }
  /// The most that was held at a time since the start.
  std::size_t peak(MemoryUse use) const { return totals_->peak[at(use)]; }
  std::size_t total() const { return totals_->total; }
  std::size_t peakTotal() const { return totals_->peakTotal; }

 private:
  friend class MemoryCharge;

  struct Totals {
    std::size_t limit = static_cast<std::size_t>(-1);
    std::size_t total = 0, peakTotal = 0;
    std::array<std::size_t, kMemoryUses> held{}, peak{};

    bool fits(MemoryUse use, std::size_t moreBytes) const;
    void change(MemoryUse use, std::size_t fromBytes, std::size_t toBytes);
  };
  static std::size_t at(MemoryUse use) { return static_cast<std::size_t>(use); }

  std::shared_ptr<Totals> totals_;  // charges may outlive the budget
};

/// The bytes of one holder.
class MemoryCharge {
 public:
  /// Charges no budget.
  MemoryCharge() = default;
  MemoryCharge(const MemoryBudget& budget, MemoryUse use) : totals_(budget.totals_), use_(use) {}
  /// Charges no budget if it is null.
  MemoryCharge(const MemoryBudget* budget, MemoryUse use)
      : totals_(budget != nullptr ? budget->totals_ : nullptr), use_(use) {}
  ~MemoryCharge() { resize(0); }
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  /// Changes the number of bytes. Returns false, without a change, if more are not available for
  /// this use.
  [[nodiscard]] bool tryResize(std::size_t bytes);
  /// Changes the number of bytes, beyond the limit if necessary.
  void resize(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget::Totals> totals_;
  MemoryUse use_ = MemoryUse::kInput;
  std::size_t bytes_ = 0;
};

}  // namespace inference_router::core
