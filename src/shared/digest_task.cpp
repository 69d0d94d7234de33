#include "shared/digest_task.h"

#include <algorithm>
#include <cmath>

#include "shared/digest_codec.h"
#include "shared/part_codec.h"

namespace inference_router::shared {

using coordination::Document;
using coordination::Step;
using coordination::View;
using coordination::Write;

namespace {

constexpr std::size_t kMaxFoldsPerStep = 64;
static_assert(kMaxFoldsPerStep < coordination::kMaxWritesPerCommit);
// Report intervals for which a new lease holder waits before it lends.
constexpr double kIntervalsBeforeLending = 2;
// Factor on loanMs that allows for clock drift and for a step in flight.
constexpr double kLoanExpiryMargin = 1.1;

// Prefix of the names under which ages_ tracks the loans of routers that have no part.
constexpr const char* kOrphanedLoanPrefix = "lent ";

/// Replaces the charges of an evicted router by its actual usage, for each budget that it reports.
void refundAll(std::map<std::string, BudgetLine>& budgets,
               const std::map<std::string, std::uint64_t>& charges,
               const std::map<std::string, std::uint64_t>& used) {
  for (const auto& [tenant, charged] : charges) {
    const auto usedTokens = used.find(tenant);
    const auto line = budgets.find(tenant);
    if (usedTokens != used.end() && line != budgets.end())
      refund(line->second, charged, usedTokens->second);
  }
}

}  // namespace

DigestTask::DigestTask(coordination::TaskConfig task,
                       std::function<SharedConfig()> config,
                       std::function<double()> unixMs)
    : task_(std::move(task)),
      readConfig_(std::move(config)),
      unixMs_(std::move(unixMs)),
      config_(readConfig_()) {}

void DigestTask::countUndecodable(const std::string& key,
                                  std::uint64_t revision,
                                  DecodeError error) {
  std::uint64_t& last = countedRevisions_[key];
  if (last == revision)
    return;
  last = revision;
  ++stats_.undecodable[nameOf(error)];
}

std::map<Origin, DigestTask::Read> DigestTask::readParts(const View& view, double nowMs) {
  std::map<Origin, Read> parts;
  const std::string prefix = kPartPrefix;
  for (auto it = view.documents.lower_bound(prefix);
       it != view.documents.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    const DecodedPart read = decodePart(it->second.value);
    // A part that is stored under the key of another origin is invalid.
    const bool own = read.part && read.part->key() == it->first;
    if (!own || parts.size() >= kMaxOrigins) {
      countUndecodable(
          it->first, it->second.revision,
          read.part ? (own ? DecodeError::kBeyondBounds : DecodeError::kForeign) : read.error);
      continue;
    }
    parts[read.part->origin] = {*read.part, it->second.revision,
                                ages_.unchangedMs(it->first, it->second.revision, nowMs)};
  }
  ages_.forgetIf([&](const std::string& key) {
    return key.rfind(prefix, 0) == 0 && view.documents.count(key) == 0;
  });
  std::erase_if(countedRevisions_,
                [&](const auto& entry) { return view.documents.count(entry.first) == 0; });
  std::erase_if(highestUsage_, [&](const auto& entry) { return parts.count(entry.first) == 0; });
  return parts;
}

/// If some part has seen a newer digest than the one in the store, the store was restored from an
/// older copy. Nothing is lent until every loan that the restored digest lacks has expired; live
/// routers report their loans in the meantime.
void DigestTask::detectRollback(Digest& digest, const std::map<Origin, Read>& parts) {
  std::uint64_t newest = lastSequence_;
  for (const auto& [origin, read] : parts)
    newest = std::max(newest, read.part.digestSequenceSeen);
  if (newest <= digest.sequence)
    return;
  digest.sequence = newest;
  ++digest.restored;
  ++stats_.rollbacks;
  const double loans = config_.budget.loanMs * kLoanExpiryMargin / std::max(1.0, task_.periodMs);
  digest.lendsFromSequence = digest.sequence + static_cast<std::uint64_t>(std::ceil(loans)) + 1;
}

// Uses the median of all reported clocks, so that one wrong clock among three has no effect.
void DigestTask::advancePeriod(Digest& digest, const std::map<Origin, Read>& parts) {
  std::vector<double> clocks{unixMs_()};
  for (const auto& [origin, read] : parts)
    if (read.ageMs < config_.silentMs)
      clocks.push_back(read.part.unixMs + read.ageMs);
  const auto middle = clocks.begin() + static_cast<std::ptrdiff_t>((clocks.size() - 1) / 2);
  std::nth_element(clocks.begin(), middle, clocks.end());
  const double start = std::floor(*middle / config_.periodMs) * config_.periodMs;
  const auto period = static_cast<std::uint64_t>(std::max(1.0, start));
  if (period > digest.period) {
    digest.period = period;
    digest.budgets.clear();
  }
  digest.periodEndsMs = static_cast<double>(digest.period) + config_.periodMs;
  for (const auto& [tenant, limit] : config_.budgets)
    digest.budgets[tenant].limit = limit;
}

void DigestTask::settle(Digest& digest, const std::map<Origin, Read>& parts) {
  for (const auto& [origin, read] : parts) {
    if (!read.part.finalUsage)
      continue;
    const FinalUsage& finalUsage = *read.part.finalUsage;
    const Origin evicted{origin.name, finalUsage.incarnation};
    const Folded* folded = digest.foldedOf(evicted);
    if (folded == nullptr)
      continue;
    if (finalUsage.period == folded->period && finalUsage.period == digest.period)
      refundAll(digest.budgets, folded->charged, finalUsage.used);
    ++stats_.refunded;
    std::erase_if(digest.folded, [&](const Folded& entry) { return entry.origin == evicted; });
  }
}

/// For how long a part may be unchanged before its router is evicted: less if another incarnation
/// of the router has reported since.
double DigestTask::evictionDelayMs(const std::map<Origin, Read>& parts,
                                   const Origin& origin,
                                   double ageMs) const {
  const bool replaced = std::any_of(parts.begin(), parts.end(), [&](const auto& other) {
    return other.first.name == origin.name && other.first.incarnation != origin.incarnation &&
           other.second.ageMs < ageMs;
  });
  return replaced ? std::min(config_.evictReplacedAfterMs, config_.evictAfterMs)
                  : config_.evictAfterMs;
}

/// A router can be evicted without proof that it has ended: all that it may have spent is charged,
/// and if it is alive, it finds its document removed and continues as a new incarnation.
std::vector<Write> DigestTask::fold(Digest& digest, std::map<Origin, Read>& parts, double nowMs) {
  std::vector<Write> writes;
  for (auto it = parts.begin(); it != parts.end() && writes.size() < kMaxFoldsPerStep;) {
    const auto& [origin, read] = *it;
    if (read.ageMs < evictionDelayMs(parts, origin, read.ageMs)) {
      ++it;
      continue;
    }
    digest.folded.push_back({origin, read.part.sequence, read.part.period,
                             chargeAll(digest.budgets, read.part, digest.period)});
    addUsage(digest.base, read.part.usage);
    writes.push_back({read.part.key(), read.revision, std::nullopt});
    ++stats_.folded;
    it = parts.erase(it);
  }
  if (digest.folded.size() > kMaxFolded)
    digest.folded.erase(digest.folded.begin(),
                        digest.folded.end() - static_cast<std::ptrdiff_t>(kMaxFolded));
  chargeOrphanedLoans(digest, parts, nowMs);
  return writes;
}

/// Charges each budget with what an evicted router may have spent of it; returns the charges by
/// tenant.
std::map<std::string, std::uint64_t> DigestTask::chargeAll(
    std::map<std::string, BudgetLine>& budgets,
    const Part& part,
    std::uint64_t period) const {
  std::map<std::string, std::uint64_t> charges;
  for (auto& [tenant, line] : budgets) {
    const auto reported = part.spends.find(tenant);
    // A part of an earlier period, or without a report on this budget, has no ceiling for this
    // period.
    Spend spend;
    if (part.period == period && reported != part.spends.end())
      spend = reported->second;
    if (!config_.guards.chargeCeiling)
      spend = Spend{spend.spent, 0, 0, 0, 0, 0};
    const std::uint64_t before = line.charged;
    charge(line, part.origin, spend);
    charges[tenant] = line.charged - before;
  }
  return charges;
}

/// Charges the loans of routers whose part has been missing from the store for evictAfterMs, for
/// example because an operator removed the document.
void DigestTask::chargeOrphanedLoans(Digest& digest,
                                     const std::map<Origin, Read>& parts,
                                     double nowMs) {
  std::set<std::string> orphaned;
  for (auto& [tenant, line] : digest.budgets) {
    std::vector<Origin> expired;
    for (const auto& [origin, lent] : line.lent) {
      if (parts.count(origin) != 0)
        continue;
      Part part;
      part.origin = origin;
      const std::string name = kOrphanedLoanPrefix + part.key();
      orphaned.insert(name);
      if (ages_.unchangedMs(name, 0, nowMs) >= config_.evictAfterMs)
        expired.push_back(origin);
    }
    for (const Origin& origin : expired)
      charge(line, origin, std::nullopt);
  }
  ages_.forgetIf([&](const std::string& name) {
    return name.rfind(kOrphanedLoanPrefix, 0) == 0 && orphaned.count(name) == 0;
  });
}

void DigestTask::lendBudgets(Digest& digest,
                             const std::map<Origin, Read>& parts,
                             std::uint64_t fence,
                             double nowMs) {
  if (fence != fence_) {
    fence_ = fence;
    fenceSinceMs_ = nowMs;
  }
  // A new lease holder does not know yet whether some router has seen a newer digest than the one
  // in the store.
  const double settleMs =
      kIntervalsBeforeLending * config_.reportIntervalMs(digest.liveNodes.size());
  const bool mayLend =
      !config_.guards.waitBeforeLending ||
      (nowMs - fenceSinceMs_ >= settleMs && digest.sequence >= digest.lendsFromSequence);
  for (auto& [tenant, line] : digest.budgets) {
    std::map<Origin, Spend> spends;
    for (const auto& [origin, read] : parts) {
      if (read.part.period != digest.period)
        continue;
      const auto spend = read.part.spends.find(tenant);
      if (spend == read.part.spends.end())
        continue;
      spends[origin] = spend->second;
      // A silent router retains its loans, but gets no new ones.
      if (!mayLend || read.ageMs >= config_.silentMs)
        spends[origin].requestedLoan = 0;
    }
    lend(line, spends);
    line.available = digest.sequence >= digest.lendsFromSequence ? availableOf(line, spends) : 0;
  }
}

/// The observations of all credible witnesses, decayed to the current time, by instance.
std::map<std::string, std::vector<HealthObservation>> DigestTask::credibleObservations(
    const std::map<Origin, Read>& parts) {
  std::map<std::string, std::vector<HealthObservation>> all;
  for (const auto& [origin, read] : parts) {
    if (read.ageMs >= config_.silentMs)
      continue;
    std::map<std::string, HealthObservation> current;
    for (const auto& [instance, observation] : read.part.observations)
      current[instance] = decayed(observation, read.ageMs, config_.observations);
    if (config_.guards.credibleOnly && !isCredible(current, config_.observations)) {
      ++stats_.ignoredWitnesses;
      continue;
    }
    for (const auto& [instance, observation] : current)
      all[instance].push_back(observation);
  }
  return all;
}

void DigestTask::updateVerdicts(Digest& digest, const std::map<Origin, Read>& parts) {
  auto observations = credibleObservations(parts);
  for (const auto& [instance, verdict] : digest.instances)
    observations.try_emplace(instance);
  std::map<std::string, HealthVerdict> verdicts;
  for (const auto& [instance, instanceObservations] : observations) {
    const auto previous = digest.instances.find(instance);
    const HealthVerdict verdict =
        nextVerdict(previous == digest.instances.end() ? HealthVerdict{} : previous->second,
                    instanceObservations, digest.sequence, config_.observations, config_.verdict);
    if (verdict.excluded || verdict.unhealthyVotes > 0)
      verdicts[instance] = verdict;
  }
  keepStrongest(verdicts, kMaxInstances);
  digest.instances = std::move(verdicts);
}

void DigestTask::count(Digest& digest, const std::map<Origin, Read>& parts) {
  digest.total = digest.base;
  digest.liveNodes.clear();
  for (const auto& [origin, read] : parts) {
    UsageTable& highest = highestUsage_[origin];
    if (!isMonotonic(read.part.usage, highest))
      ++stats_.decreasedCounters;
    merge(highest, read.part.usage);
    addUsage(digest.total, highest);
    if (read.ageMs < config_.silentMs)
      digest.liveNodes[origin] = read.part.sequence;
  }
  // The tables stay within their bound, however many names occur in the parts.
  for (UsageTable* usage : {&digest.base, &digest.total})
    while (usage->size() > kMaxUsageRows)
      usage->erase(std::prev(usage->end()));
}

std::optional<Step> DigestTask::next(const View& view, std::uint64_t fence, double nowMs) {
  config_ = readConfig_();
  Digest digest;
  std::uint64_t revision = 0;
  if (const auto document = view.documents.find(kDigestKey); document != view.documents.end()) {
    const DecodedDigest read = decodeDigest(document->second.value);
    // A digest that is damaged or of a later version is not overwritten, as its loans cannot be
    // reconstructed.
    if (!read.digest) {
      countUndecodable(kDigestKey, document->second.revision, read.error);
      return std::nullopt;
    }
    digest = *read.digest;
    revision = document->second.revision;
  }
  std::map<Origin, Read> parts = readParts(view, nowMs);
  detectRollback(digest, parts);
  lastSequence_ = std::max(lastSequence_, digest.sequence);
  ++digest.sequence;
  digest.fence = fence;
  advancePeriod(digest, parts);
  settle(digest, parts);
  std::vector<Write> writes = fold(digest, parts, nowMs);
  count(digest, parts);
  lendBudgets(digest, parts, fence, nowMs);
  updateVerdicts(digest, parts);
  writes.insert(writes.begin(), Write{kDigestKey, revision, encodeWithinBounds(digest)});
  return Step{"digest " + std::to_string(digest.sequence), std::move(writes)};
}

}  // namespace inference_router::shared
