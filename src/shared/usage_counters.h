/// Usage counters that can be summed over the fleet: a state-based grow-only counter (G-counter)
/// per process. Merging uses the larger value of each counter, so reports may arrive late, repeated
/// or out of order. The counters of processes that have ended are folded into a common base. No
/// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace inference_router::shared {

/// Identifies one process of one router. The incarnation changes with each start, and with each
/// eviction of a process that is in fact alive.
struct Origin {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Origin&) const = default;
};

/// The counters of one tenant and request class. They only grow.
struct UsageCounters {
  std::uint64_t served = 0, refused = 0, failed = 0;  ///< number of requests
  std::uint64_t promptTokens = 0, answerTokens = 0;   ///< of served requests; billed
  /// Upper bounds of the requested tokens; never billed.
  std::uint64_t refusedTokens = 0, failedTokens = 0;
  bool operator==(const UsageCounters&) const = default;

  void add(const UsageCounters& other);
  /// Whether every counter is at least as large as in `other`.
  bool dominates(const UsageCounters& other) const;
  std::uint64_t billed() const { return promptTokens + answerTokens; }
};

/// The key of a row of the usage table. Uses names rather than indices, as routers may number
/// tenants and classes differently.
struct UsageKey {
  std::string tenant;
  std::string requestClass;
  auto operator<=>(const UsageKey&) const = default;
};
using UsageTable = std::map<UsageKey, UsageCounters>;
constexpr std::size_t kMaxUsageRows = 1024;

/// Adds each row of `from` to `to`.
void addUsage(UsageTable& to, const UsageTable& from);
/// The difference `current` - `previous`, row by row; 0 for a counter that has decreased.
UsageTable usageSince(const UsageTable& current, const UsageTable& previous);
/// Sets each counter to the larger of both values. Idempotent, commutative and associative.
void merge(UsageTable& to, const UsageTable& from);
/// Whether no counter has decreased from `previous` to `current`.
bool isMonotonic(const UsageTable& current, const UsageTable& previous);

/// The usage of the whole fleet: one table per live process, and the base for processes that have
/// ended.
class FleetUsage {
 public:
  /// Merges the table of a process. Returns false if a counter has decreased; its higher value is
  /// retained.
  bool merge(const Origin& from, const UsageTable& part);
  /// Moves the usage of a process that has ended into the base. A second call has no effect.
  void fold(const Origin& from);
  void base(UsageTable base) { base_ = std::move(base); }

  const UsageTable& base() const { return base_; }
  const std::map<Origin, UsageTable>& parts() const { return parts_; }
  UsageTable total() const;

 private:
  UsageTable base_;
  std::map<Origin, UsageTable> parts_;
};

}  // namespace inference_router::shared
