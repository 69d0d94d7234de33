// What was used, counted so that it can be added up over the whole fleet: each process counts up by itself,
// its part is merged in any order, repeated or late, and the sum is the same. Parts of processes that are
// gone are folded into one. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dahliastall::shared {

// One process of one conductor: a number that is new with each start, and with each fold of a part that is
// not gone after all.
struct Origin {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Origin&) const = default;
};

// Of one franchisee and class. Only ever counts up.
struct UsageCounters {
  std::uint64_t served = 0, refused = 0, failed = 0;  // requests
  std::uint64_t promptTokens = 0, answerTokens = 0;   // of those served: what is billed
  std::uint64_t refusedTokens = 0, failedTokens = 0;  // asked for at most: never billed
  bool operator==(const UsageCounters&) const = default;

  void add(const UsageCounters& more);
  // Whether this is nowhere under the other.
  bool dominates(const UsageCounters& other) const;
  std::uint64_t billed() const { return promptTokens + answerTokens; }
};

// One row of the usage table: names rather than indices, as conductors may number them differently.
struct UsageKey {
  std::string tenant;
  std::string requestClass;
  auto operator<=>(const UsageKey&) const = default;
};
using UsageTable = std::map<UsageKey, UsageCounters>;
constexpr std::size_t kMaxUsageRows = 1024;

void addUsage(UsageTable& to, const UsageTable& more);
// What `now` counts beyond `before`. A count that is lower than it was says nothing: it gives 0.
UsageTable usageSince(const UsageTable& now, const UsageTable& before);
// The larger of each count: a part only grows, so that this is its newest state whatever comes when.
void merge(UsageTable& to, const UsageTable& from);
// Whether each count of `now` is where it was or above.
bool isMonotonic(const UsageTable& now, const UsageTable& before);

// All parts, each under its process.
class FleetUsage {
 public:
  // False: some count was lower than it had been, as of a peer that counts backwards; the higher one stays.
  bool merge(const Origin& from, const UsageTable& part);
  // What a process that is gone counted becomes part of the base, once.
  void fold(const Origin& from);
  void base(UsageTable base) { base_ = std::move(base); }

  const UsageTable& base() const { return base_; }
  const std::map<Origin, UsageTable>& parts() const { return parts_; }
  UsageTable total() const;

 private:
  UsageTable base_;
  std::map<Origin, UsageTable> parts_;
};

}  // namespace dahliastall::shared
