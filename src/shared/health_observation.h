/// Health observations: the results of one router's attempts at each instance, and how the fleet
/// combines the observations of all routers (the witnesses) into a verdict. A verdict needs several
/// distinct witnesses. A witness that finds most instances unhealthy is assumed to have a network
/// problem of its own and is ignored. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/store.h"

namespace inference_router::shared {

/// Why an attempt at an instance failed.
enum class FailureKind : std::uint8_t { kNone, kConnectionRefused, kTimeout, kError, kSlow };
/// The name in reports.
const char* nameOf(FailureKind failure);

/// The evidence of one router on one instance: counts of successes and failures, decayed to the
/// current time.
struct HealthObservation {
  double successes = 0, failures = 0;
  /// Time since the last of each, by the witness's clock.
  double failureAgeMs = 0, successAgeMs = 0;
  FailureKind failure = FailureKind::kNone;  ///< of the last failure
};

/// How evidence decays and is weighed.
struct ObservationConfig {
  double halfLifeMs = 10'000;  ///< half-life of evidence
  /// Decayed count of failures from which a witness votes unhealthy: two failures, slightly
  /// decayed.
  double unhealthyFrom = 1.5;
  /// For how long a router's own success overrides the fleet's verdict.
  double freshMs = 5'000;
  /// A witness is ignored if it finds a larger share of the instances that it knows unhealthy.
  double maxUnhealthyShare = 0.5;
};

constexpr std::size_t kMaxInstances = coordination::kMaxFleetInstances;

/// Retains at most `max` observations: those with the most failures, then with the most successes.
void keepStrongest(std::map<std::string, HealthObservation>& observations, std::size_t max);

/// The observations of this router, at most kMaxInstances.
class LocalObservations {
 public:
  explicit LocalObservations(ObservationConfig config = {}) : config_(config) {}

  void recordSuccess(const std::string& instance, double nowMs);
  void recordFailure(const std::string& instance, FailureKind failure, double nowMs);
  /// Drops instances that are no longer listed, and evidence that has become negligible.
  void prune(const std::set<std::string>& listed, double nowMs);

  /// All observations, decayed to nowMs, by instance.
  std::map<std::string, HealthObservation> snapshot(double nowMs) const;
  /// Whether the last result was a success within the last freshMs.
  bool recentlyHealthy(const std::string& instance, double nowMs) const;

 private:
  struct Entry {
    double successes = 0, failures = 0, updatedMs = 0;
    double lastSuccessMs = -1, lastFailureMs = -1;
    FailureKind failure = FailureKind::kNone;
  };
  Entry& decayedEntry(const std::string& instance, double nowMs);

  ObservationConfig config_;
  std::map<std::string, Entry> entries_;
};

/// Returns the observation as of `byMs` milliseconds later. Evidence never grows by this.
HealthObservation decayed(const HealthObservation& observation,
                          double byMs,
                          const ObservationConfig& config);

/// A witness's assessment of one instance.
enum class Vote : std::uint8_t { kAbstain, kHealthy, kUnhealthy };
Vote voteOf(const HealthObservation& observation, const ObservationConfig& config);

/// Whether the votes of this witness count. A witness that finds at least two instances unhealthy,
/// and more than maxUnhealthyShare of those that it knows, probably has a network problem of its
/// own.
bool isCredible(const std::map<std::string, HealthObservation>& observations,
                const ObservationConfig& config);

/// The verdict of the fleet on one instance.
struct HealthVerdict {
  std::uint32_t unhealthyVotes = 0, healthyVotes = 0;  ///< votes of distinct witnesses
  bool excluded = false;                               ///< from use by the fleet
  FailureKind failure = FailureKind::kNone;
  double evidence = 0;              ///< sum of failures over the unhealthy votes
  std::uint64_t sinceSequence = 0;  ///< of the digest that excluded the instance
  bool operator==(const HealthVerdict&) const = default;
};

/// Retains at most `max` verdicts: those that exclude an instance, then those with the most
/// unhealthy votes.
void keepStrongest(std::map<std::string, HealthVerdict>& verdicts, std::size_t max);

/// When a verdict excludes an instance, and when the exclusion ends.
struct VerdictConfig {
  std::uint32_t witnesses = 2;  ///< minimum number of unhealthy votes
  double expiryMs = 60'000;     ///< an exclusion ends after so long without a failure
};

/// Returns the next verdict on an instance, from the previous one and the observations of credible
/// witnesses. sequence: of the digest that is being computed.
HealthVerdict nextVerdict(const HealthVerdict& previous,
                          const std::vector<HealthObservation>& observed,
                          std::uint64_t sequence,
                          const ObservationConfig& observations,
                          const VerdictConfig& config);

}  // namespace inference_router::shared
