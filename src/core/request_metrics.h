// What operators are told of the requests, by class. Counted at the core's two gates and nowhere
// else, so that at every moment taken = ok + shed + errors + abandoned + handed over + open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace inference_router::core {

enum class RequestOutcome { kOk, kShed, kError, kAbandoned, kHandedOver };

struct ClassMetrics {
  std::uint64_t taken = 0, ok = 0, shed = 0, errors = 0, abandoned = 0;
  std::uint64_t handedOver = 0;  // to the process that replaces this one
  std::uint64_t tries = 0;       // attempts whose last byte was written to an instance
  std::uint64_t open = 0;        // taken, and not ended
};

class RequestMetrics {
 public:
  // Classes only ever get more: their numbers stay.
  void classes(std::size_t count) {
    if (count > byClass_.size())
      byClass_.resize(count);
  }
  const std::vector<ClassMetrics>& byClass() const { return byClass_; }

  // A class that the settings do not name is counted nowhere.
  void taken(std::size_t cls) {
    if (cls >= byClass_.size())
      return;
    ++byClass_[cls].taken;
    ++byClass_[cls].open;
  }
  void tried(std::size_t cls) {
    if (cls < byClass_.size())
      ++byClass_[cls].tries;
  }
  void ended(std::size_t cls, RequestOutcome how) {
    if (cls >= byClass_.size())
      return;
    ClassMetrics& metrics = byClass_[cls];
    --metrics.open;
    switch (how) {
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
