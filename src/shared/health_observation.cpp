#include "shared/health_observation.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace inference_router::shared {

namespace {

constexpr double kNegligible = 0.05;  // decayed count below which evidence is ignored
// Factor by which a success reduces the failures, and a failure the successes.
constexpr double kReversalFactor = 0.5;
// Number of unhealthy votes from which a witness may have a network problem of its own.
constexpr std::size_t kMinUnhealthyToDoubt = 2;

double decayFactor(double byMs, const ObservationConfig& config) {
  return std::exp2(-std::max(0.0, byMs) / config.halfLifeMs);
}

}  // namespace

const char* nameOf(FailureKind failure) {
  constexpr std::array<const char*, 5> kNames{"none", "refused", "silent", "failing", "slow"};
  return kNames[static_cast<std::size_t>(failure)];
}

LocalObservations::Entry& LocalObservations::decayedEntry(const std::string& instance,
                                                          double nowMs) {
  Entry& entry = entries_.try_emplace(instance).first->second;
  const double factor = decayFactor(nowMs - entry.updatedMs, config_);
  entry.successes *= factor;
  entry.failures *= factor;
  entry.updatedMs = nowMs;
  return entry;
}

void LocalObservations::recordSuccess(const std::string& instance, double nowMs) {
  if (entries_.count(instance) == 0 && entries_.size() >= kMaxInstances)
    return;
  Entry& entry = decayedEntry(instance, nowMs);
  entry.successes += 1;
  entry.failures *= kReversalFactor;
  entry.lastSuccessMs = nowMs;
}

void LocalObservations::recordFailure(const std::string& instance,
                                      FailureKind failure,
                                      double nowMs) {
  if (entries_.count(instance) == 0 && entries_.size() >= kMaxInstances)
    return;
  Entry& entry = decayedEntry(instance, nowMs);
  entry.failures += 1;
  entry.successes *= kReversalFactor;
  entry.lastFailureMs = nowMs;
  entry.failure = failure;
}

void LocalObservations::prune(const std::set<std::string>& listed, double nowMs) {
  std::erase_if(entries_, [&](const auto& entry) {
    const double factor = decayFactor(nowMs - entry.second.updatedMs, config_);
    return listed.count(entry.first) == 0 ||
           (entry.second.successes + entry.second.failures) * factor < kNegligible;
  });
}

std::map<std::string, HealthObservation> LocalObservations::snapshot(double nowMs) const {
  std::map<std::string, HealthObservation> all;
  for (const auto& [instance, entry] : entries_) {
    const double factor = decayFactor(nowMs - entry.updatedMs, config_);
    const HealthObservation observation{entry.successes * factor, entry.failures * factor,
                                        entry.lastFailureMs < 0 ? 0 : nowMs - entry.lastFailureMs,
                                        entry.lastSuccessMs < 0 ? 0 : nowMs - entry.lastSuccessMs,
                                        entry.failure};
    if (observation.successes + observation.failures >= kNegligible)
      all[instance] = observation;
  }
  return all;
}

bool LocalObservations::recentlyHealthy(const std::string& instance, double nowMs) const {
  const auto it = entries_.find(instance);
  return it != entries_.end() && it->second.lastSuccessMs >= 0 &&
         nowMs - it->second.lastSuccessMs <= config_.freshMs &&
         it->second.lastSuccessMs > it->second.lastFailureMs;
}

namespace {

// The evidence on one instance, ordered by failures, then by successes.
struct Strength {
  double failures = 0, successes = 0;
  std::string instance;
  auto operator<=>(const Strength&) const = default;
};

}  // namespace

void keepStrongest(std::map<std::string, HealthObservation>& observations, std::size_t max) {
  if (observations.size() <= max)
    return;
  std::vector<Strength> strengths;
  strengths.reserve(observations.size());
  for (const auto& [instance, observation] : observations)
    strengths.push_back({observation.failures, observation.successes, instance});
  const auto firstRetained =
      strengths.begin() + static_cast<std::ptrdiff_t>(strengths.size() - max);
  std::nth_element(strengths.begin(), firstRetained, strengths.end());
  for (auto it = strengths.begin(); it != firstRetained; ++it)
    observations.erase(it->instance);
}

HealthObservation decayed(const HealthObservation& observation,
                          double byMs,
                          const ObservationConfig& config) {
  HealthObservation next = observation;
  next.successes *= decayFactor(byMs, config);
  next.failures *= decayFactor(byMs, config);
  next.failureAgeMs += std::max(0.0, byMs);
  next.successAgeMs += std::max(0.0, byMs);
  return next;
}

Vote voteOf(const HealthObservation& observation, const ObservationConfig& config) {
  if (observation.failures >= config.unhealthyFrom && observation.failures >= observation.successes)
    return Vote::kUnhealthy;
  // The first success after a failure is enough for a healthy vote.
  if (observation.successes >= 0.5 &&
      (observation.failures < kNegligible || observation.successAgeMs < observation.failureAgeMs))
    return Vote::kHealthy;
  return Vote::kAbstain;
}

bool isCredible(const std::map<std::string, HealthObservation>& observations,
                const ObservationConfig& config) {
  std::size_t unhealthy = 0, known = 0;
  for (const auto& [instance, observation] : observations) {
    const Vote vote = voteOf(observation, config);
    known += vote != Vote::kAbstain;
    unhealthy += vote == Vote::kUnhealthy;
  }
  return unhealthy < kMinUnhealthyToDoubt ||
         static_cast<double>(unhealthy) <= config.maxUnhealthyShare * static_cast<double>(known);
}

void keepStrongest(std::map<std::string, HealthVerdict>& verdicts, std::size_t max) {
  const auto weaker = [](const auto& one, const auto& other) {
    return std::pair(one.second.excluded, one.second.unhealthyVotes) <
           std::pair(other.second.excluded, other.second.unhealthyVotes);
  };
  while (verdicts.size() > max)
    verdicts.erase(std::min_element(verdicts.begin(), verdicts.end(), weaker));
}

HealthVerdict nextVerdict(const HealthVerdict& previous,
                          const std::vector<HealthObservation>& observed,
                          std::uint64_t sequence,
                          const ObservationConfig& observations,
                          const VerdictConfig& config) {
  HealthVerdict next = previous;
  next.unhealthyVotes = next.healthyVotes = 0;
  next.evidence = 0;
  std::vector<double> failureAges;
  // Includes observations that are too weak for a vote, such as a single failed probe.
  double lastFailureAgeMs = HUGE_VAL;
  for (const HealthObservation& observation : observed) {
    if (observation.failures >= kNegligible)
      lastFailureAgeMs = std::min(lastFailureAgeMs, observation.failureAgeMs);
    if (voteOf(observation, observations) != Vote::kUnhealthy)
      continue;
    ++next.unhealthyVotes;
    next.evidence += observation.failures;
    next.failure = observation.failure;
    failureAges.push_back(observation.failureAgeMs);
  }
  std::sort(failureAges.begin(), failureAges.end());
  // A success counts only if it is later than the failures that the verdict needs. Once the
  // instance is excluded, it has to be later than all failures, as the success of a probe is.
  const std::size_t needed = std::max<std::uint32_t>(1, config.witnesses);
  const double latestAgeMs = previous.excluded             ? lastFailureAgeMs
                             : failureAges.size() < needed ? HUGE_VAL
                                                           : failureAges[needed - 1];
  for (const HealthObservation& observation : observed)
    next.healthyVotes += voteOf(observation, observations) == Vote::kHealthy &&
                         observation.successAgeMs < latestAgeMs;
  if (!previous.excluded) {
    next.excluded =
        next.unhealthyVotes >= config.witnesses && next.unhealthyVotes > next.healthyVotes;
    if (next.excluded)
      next.sinceSequence = sequence;
    return next;
  }
  next.excluded = lastFailureAgeMs < config.expiryMs && next.healthyVotes == 0;
  return next;
}

}  // namespace inference_router::shared
