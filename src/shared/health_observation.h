// What one conductor saw of each box, and what the fleet makes of all sights together. A judgement rests on
// distinct witnesses; one that finds most boxes bad is taken to have a bad link of its own and is not heard.
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/store.h"

namespace dahliastall::shared {

enum class FailureKind : std::uint8_t { kNone, kConnectionRefused, kTimeout, kError, kSlow };
const char* nameOf(FailureKind failure);

// Evidence of one conductor on one box, faded to the moment at which it is said.
struct HealthObservation {
  double good = 0, bad = 0;
  double badAgeMs = 0, goodAgeMs = 0;        // since the last of each, by the witness's own clock
  FailureKind failure = FailureKind::kNone;  // of the last that was bad
};

struct ObservationConfig {
  double halfLifeMs = 10'000;  // in which evidence loses half its say
  double unhealthyFrom =
      1.5;  // evidence from which a witness says that a box is bad: two failures, a little faded
  double freshMs = 5'000;  // in which a conductor's own good answer goes before what others say
  double maxUnhealthyShare =
      0.5;  // share of the boxes that a witness knows; who finds more of them bad is not heard
};

constexpr std::size_t kMaxInstances = coordination::kMostInstances;

// Leaves so many sights, those with most evidence, bad before good.
void keepStrongest(std::map<std::string, HealthObservation>& observations, std::size_t most);

// A conductor's own sights.
class LocalObservations {
 public:
  explicit LocalObservations(ObservationConfig config = {}) : config_(config) {}

  void recordSuccess(const std::string& box, double nowMs);
  void recordFailure(const std::string& box, FailureKind failure, double nowMs);
  // What is not listed any more, or says nothing any more, is let go of.
  void prune(const std::set<std::string>& listed, double nowMs);

  std::map<std::string, HealthObservation> snapshot(double nowMs) const;
  // Whether it answered lately, and nothing went wrong there since.
  bool recentlyHealthy(const std::string& box, double nowMs) const;

 private:
  struct Entry {
    double good = 0, bad = 0, atMs = 0;
    double goodMs = -1, badMs = -1;
    FailureKind failure = FailureKind::kNone;
  };
  Entry& decayedEntry(const std::string& box, double nowMs);

  ObservationConfig config_;
  std::map<std::string, Entry> entries_;
};

// A sight that was said so long ago, as it counts now. Never grows.
HealthObservation decayed(const HealthObservation& observation, double byMs, const ObservationConfig& config);

enum class Vote : std::uint8_t { kAbstain, kHealthy, kUnhealthy };
Vote voteOf(const HealthObservation& observation, const ObservationConfig& config);

// Whether this witness is heard at all: one that finds more than its share of the boxes that it knows bad,
// and at least two, more likely has a bad link of its own.
bool isCredible(const std::map<std::string, HealthObservation>& observations,
                const ObservationConfig& config);

// What all say of one box.
struct HealthVerdict {
  std::uint32_t bad = 0, good = 0;  // distinct witnesses
  bool out = false;                 // the fleet leaves it out
  FailureKind failure = FailureKind::kNone;
  double evidence = 0;              // of the bad ones
  std::uint64_t sinceSequence = 0;  // of the digest at which it went out
  bool operator==(const HealthVerdict&) const = default;
};

struct VerdictConfig {
  std::uint32_t witnesses = 2;  // that it takes at least
  double expiryMs = 60'000;     // without anything bad seen after which a judgement ends by itself
};

// The next judgement on a box, from the last one and what credible witnesses say now.
HealthVerdict nextVerdict(const HealthVerdict& previous, const std::vector<HealthObservation>& heard,
                          std::uint64_t sequence, const ObservationConfig& observations,
                          const VerdictConfig& config);

}  // namespace dahliastall::shared
