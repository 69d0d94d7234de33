/// Request metrics by class, as reported by /metrics and OTLP. Counted only where requests begin
/// and end, so that at every moment received = ok + shed + errors + abandoned + handedOver + open.
/// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace inference_router::core {

/// How a request ended for its client.
enum class RequestOutcome {
  kOk,          ///< answered in full
  kShed,        ///< rejected; it has not run
  kError,       ///< failed, or its stream broke off
  kAbandoned,   ///< its client disconnected
  kHandedOver,  ///< another process of this router has taken it over
};

/// The totals of one class since the start of the process.
struct ClassMetrics {
  std::uint64_t received = 0, ok = 0, shed = 0, errors = 0, abandoned = 0;
  std::uint64_t handedOver = 0;  ///< to the process that replaces this one
  std::uint64_t attempts = 0;    ///< attempts whose last byte was written to an instance
  std::uint64_t open = 0;        ///< begun and not ended
};

/// Counts requests by class index. An index beyond ensureClasses() is ignored.
class RequestMetrics {
 public:
  /// Grows the table to this many classes. Classes are never removed, so their indices stay valid.
  void ensureClasses(std::size_t count) {
    if (count > byClass_.size())
      byClass_.resize(count);
  }
  /// The metrics of each class, by its index in the settings.
  const std::vector<ClassMetrics>& byClass() const { return byClass_; }

  void requestBegan(std::size_t cls) {
    if (cls >= byClass_.size())
      return;
    ++byClass_[cls].received;
    ++byClass_[cls].open;
  }
  void attemptWritten(std::size_t cls) {
    if (cls < byClass_.size())
      ++byClass_[cls].attempts;
  }
  void requestEnded(std::size_t cls, RequestOutcome outcome) {
    if (cls >= byClass_.size())
      return;
    ClassMetrics& metrics = byClass_[cls];
    --metrics.open;
    switch (outcome) {
      case RequestOutcome::kOk:
        ++metrics.ok;
        break;
      case RequestOutcome::kShed:
        ++metrics.shed;
        break;
      case RequestOutcome::kError:
        ++metrics.errors;
        break;
      case RequestOutcome::kAbandoned:
        ++metrics.abandoned;
        break;
      case RequestOutcome::kHandedOver:
        ++metrics.handedOver;
        break;
    }
  }

 private:
  std::vector<ClassMetrics> byClass_;
};

}  // namespace inference_router::core
