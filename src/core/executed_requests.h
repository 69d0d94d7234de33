/// The ids of requests that have ended and may have run, so that none of them runs again when its
/// id returns: on another connection after its client left, or at the process that replaces this
/// one. No I/O. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/memory_budget.h"
#include "inference_router/router.h"

namespace inference_router::core {

/// Remembers each id for a limited time, and a limited number of them. Times are of core::Clock, in
/// milliseconds.
class ExecutedRequests {
 public:
  static constexpr std::size_t kMaxRequests = std::size_t{32} * 1024;
  /// Far beyond the time for which a client keeps the id of a request.
  static constexpr double kRetentionMs = 60'000;

  explicit ExecutedRequests(const MemoryBudget& memory)
      : memory_(memory, MemoryUse::kSmallRequests) {}

  /// Remembers an id from now on. At the limit the oldest is forgotten.
  void add(const routing::RequestId& id, double nowMs);
  /// Whether the request may have run. Forgets what is too old.
  bool contains(const routing::RequestId& id, double nowMs);
  std::size_t size() const { return addedMs_.size(); }
  /// The ids that were added after so many, the oldest first, and at most maxCount of them. Those
  /// that are forgotten are left out.
  struct Added {
    std::vector<routing::RequestId> ids;
    std::uint64_t next = 0;  ///< from where the next call goes on
  };
  Added addedSince(std::uint64_t number, std::size_t maxCount) const;

 private:
  struct Entry {
    routing::RequestId id;
    double addedMs;
  };

  void forgetOlderThan(double ms);
  void forgetFirst();

  MemoryCharge memory_;
  std::map<routing::RequestId, double> addedMs_;
  std::deque<Entry> order_;  // one for each add()
  std::uint64_t added_ = 0;
};

}  // namespace inference_router::core
