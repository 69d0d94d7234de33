#include "shared/health_observation.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace inference_router::shared {

namespace {

constexpr double kNegligible = 0.05;  // evidence below this counts as none
// Share of the opposite evidence that remains after a result.
constexpr double kReversalFactor = 0.5;
// Unhealthy votes from which a witness may have a network problem of its own.
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
  const double left = decayFactor(nowMs - entry.atMs, config_);
  entry.good *= left;
  entry.bad *= left;
  entry.atMs = nowMs;
  return entry;
}

void LocalObservations::recordSuccess(const std::string& instance, double nowMs) {
  if (entries_.count(instance) == 0 && entries_.size() >= kMaxInstances)
    return;
  Entry& entry = decayedEntry(instance, nowMs);
  entry.good += 1;
  entry.bad *= kReversalFactor;
  entry.goodMs = nowMs;
}

void LocalObservations::recordFailure(const std::string& instance,
                                      FailureKind failure,
                                      double nowMs) {
  if (entries_.count(instance) == 0 && entries_.size() >= kMaxInstances)
    return;
  Entry& entry = decayedEntry(instance, nowMs);
  entry.bad += 1;
  entry.good *= kReversalFactor;
  entry.badMs = nowMs;
  entry.failure = failure;
}

void LocalObservations::prune(const std::set<std::string>& listed, double nowMs) {
  std::erase_if(entries_, [&](const auto& entry) {
    const double left = decayFactor(nowMs - entry.second.atMs, config_);
    return listed.count(entry.first) == 0 ||
           (entry.second.good + entry.second.bad) * left < kNegligible;
  });
}

std::map<std::string, HealthObservation> LocalObservations::snapshot(double nowMs) const {
  std::map<std::string, HealthObservation> all;
  for (const auto& [instance, entry] : entries_) {
    const double left = decayFactor(nowMs - entry.atMs, config_);
    const HealthObservation observation{entry.good * left, entry.bad * left,
                                        entry.badMs < 0 ? 0 : nowMs - entry.badMs,
                                        entry.goodMs < 0 ? 0 : nowMs - entry.goodMs, entry.failure};
    if (observation.good + observation.bad >= kNegligible)
      all[instance] = observation;
  }
  return all;
}

bool LocalObservations::recentlyHealthy(const std::string& instance, double nowMs) const {
  const auto it = entries_.find(instance);
  return it != entries_.end() && it->second.goodMs >= 0 &&
         nowMs - it->second.goodMs <= config_.freshMs && it->second.goodMs > it->second.badMs;
}

namespace {

// Evidence on one instance, ordered by failures, then by successes.
struct Strength {
  double bad = 0, good = 0;
  std::string instance;
  auto operator<=>(const Strength&) const = default;
};

}  // namespace

void keepStrongest(std::map<std::string, HealthObservation>& observations, std::size_t max) {
  if (observations.size() <= max)
    return;
  std::vector<Strength> weakest;
  weakest.reserve(observations.size());
  for (const auto& [instance, observation] : observations)
    weakest.push_back({observation.bad, observation.good, instance});
  const auto end = weakest.begin() + static_cast<std::ptrdiff_t>(weakest.size() - max);
  std::nth_element(weakest.begin(), end, weakest.end());
  for (auto it = weakest.begin(); it != end; ++it)
    observations.erase(it->instance);
}

HealthObservation decayed(const HealthObservation& observation,
                          double byMs,
                          const ObservationConfig& config) {
  HealthObservation next = observation;
  next.good *= decayFactor(byMs, config);
  next.bad *= decayFactor(byMs, config);
  next.badAgeMs += std::max(0.0, byMs);
  next.goodAgeMs += std::max(0.0, byMs);
  return next;
}

Vote voteOf(const HealthObservation& observation, const ObservationConfig& config) {
  if (observation.bad >= config.unhealthyFrom && observation.bad >= observation.good)
    return Vote::kUnhealthy;
  // The first success after a failure makes it healthy again.
  if (observation.good >= 0.5 &&
      (observation.bad < kNegligible || observation.goodAgeMs < observation.badAgeMs))
    return Vote::kHealthy;
  return Vote::kAbstain;
}

bool isCredible(const std::map<std::string, HealthObservation>& observations,
                const ObservationConfig& config) {
  std::size_t bad = 0, known = 0;
  for (const auto& [instance, observation] : observations) {
    const Vote vote = voteOf(observation, config);
    known += vote != Vote::kAbstain;
    bad += vote == Vote::kUnhealthy;
  }
  return bad < kMinUnhealthyToDoubt ||
         static_cast<double>(bad) <= config.maxUnhealthyShare * static_cast<double>(known);
}

void keepStrongest(std::map<std::string, HealthVerdict>& verdicts, std::size_t max) {
  const auto weaker = [](const auto& one, const auto& other) {
    return std::pair(one.second.out, one.second.bad) <
           std::pair(other.second.out, other.second.bad);
  };
  while (verdicts.size() > max)
    verdicts.erase(std::min_element(verdicts.begin(), verdicts.end(), weaker));
}

HealthVerdict nextVerdict(const HealthVerdict& previous,
                          const std::vector<HealthObservation>& heard,
                          std::uint64_t sequence,
                          const ObservationConfig& observations,
                          const VerdictConfig& config) {
  HealthVerdict next = previous;
  next.bad = next.good = 0;
  next.evidence = 0;
  std::vector<double> badAges;
  // Also of observations too weak for a vote, such as a single failed probe.
  double lastBad = HUGE_VAL;
  for (const HealthObservation& observation : heard) {
    if (observation.bad >= kNegligible)
      lastBad = std::min(lastBad, observation.badAgeMs);
    if (voteOf(observation, observations) != Vote::kUnhealthy)
      continue;
    ++next.bad;
    next.evidence += observation.bad;
    next.failure = observation.failure;
    badAges.push_back(observation.badAgeMs);
  }
  std::sort(badAges.begin(), badAges.end());
  // A success counts only if it is later than the failures that the verdict needs, and later than
  // all of them once the instance is excluded, as a successful probe is.
  const std::size_t needed = std::max<std::uint32_t>(1, config.witnesses);
  const double since = previous.out              ? lastBad
                       : badAges.size() < needed ? HUGE_VAL
                                                 : badAges[needed - 1];
  for (const HealthObservation& observation : heard)
    next.good +=
        voteOf(observation, observations) == Vote::kHealthy && observation.goodAgeMs < since;
  if (!previous.out) {
    next.out = next.bad >= config.witnesses && next.bad > next.good;
    if (next.out)
      next.sinceSequence = sequence;
    return next;
  }
  next.out = lastBad < config.expiryMs && next.good == 0;
  return next;
}

}  // namespace inference_router::shared
