/// The task of the router that holds the digest's lease: it combines all parts into a digest, lends
/// budgets, evicts routers that no longer report by folding their parts into the base, and decides
/// the verdicts on instances. Each step is one transaction on the documents that were read, under
/// the lease's fence; the store rejects a step that is based on a stale view. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "coordination/task.h"
#include "coordination/unchanged_tracker.h"
#include "shared/config.h"
#include "shared/document_format.h"
#include "shared/documents.h"

namespace inference_router::shared {

/// The task that maintains the digest; run by the holder of its lease.
class DigestTask final : public coordination::FleetTask {
 public:
  /// Counters since the start.
  struct Stats {
    std::uint64_t folded = 0, rollbacks = 0, refunded = 0, ignoredWitnesses = 0,
                  decreasedCounters = 0;
    /// By decode error; each revision of a document is counted once.
    std::map<std::string, std::uint64_t> undecodable;
  };

  /// config: called at each step, as a reload may change the settings. unixMs: the machine's wall
  /// clock.
  DigestTask(coordination::TaskConfig task,
             std::function<SharedConfig()> config,
             std::function<double()> unixMs);

  const coordination::TaskConfig& config() const override { return task_; }
  std::optional<coordination::Step> next(const coordination::View& view,
                                         std::uint64_t fence,
                                         double nowMs) override;
  const Stats& stats() const { return stats_; }

 private:
  struct Read {
    Part part;
    std::uint64_t revision;
    double ageMs;  // for how long this process has seen it unchanged
  };
  // Decodes the parts of a view; skips and counts invalid ones.
  std::map<Origin, Read> readParts(const coordination::View& view, double nowMs);
  void countUndecodable(const std::string& key, std::uint64_t revision, DecodeError error);
  // Suspends lending if some part has seen a newer digest than the one in the store.
  void detectRollback(Digest& digest, const std::map<Origin, Read>& parts);
  // Starts the period that the median clock is in; never returns to an earlier one.
  void advancePeriod(Digest& digest, const std::map<Origin, Read>& parts);
  // Refunds evicted incarnations whose actual usage has been reported.
  void settle(Digest& digest, const std::map<Origin, Read>& parts);
  double evictionDelayMs(const std::map<Origin, Read>& parts,
                         const Origin& origin,
                         double ageMs) const;
  // Folds the parts of evicted routers into the base; returns the removals of their documents.
  std::vector<coordination::Write> fold(Digest& digest,
                                        std::map<Origin, Read>& parts,
                                        double nowMs);
  std::map<std::string, std::uint64_t> chargeAll(std::map<std::string, BudgetLine>& budgets,
                                                 const Part& part,
                                                 std::uint64_t period) const;
  void chargeOrphanedLoans(Digest& digest, const std::map<Origin, Read>& parts, double nowMs);
  void lendBudgets(Digest& digest,
                   const std::map<Origin, Read>& parts,
                   std::uint64_t fence,
                   double nowMs);
  std::map<std::string, std::vector<HealthObservation>> credibleObservations(
      const std::map<Origin, Read>& parts);
  void updateVerdicts(Digest& digest, const std::map<Origin, Read>& parts);
  // Sums the usage of all parts.
  void count(Digest& digest, const std::map<Origin, Read>& parts);

  coordination::TaskConfig task_;
  std::function<SharedConfig()> readConfig_;
  std::function<double()> unixMs_;
  SharedConfig config_;
  coordination::UnchangedTracker ages_;
  std::map<std::string, std::uint64_t> countedRevisions_;  // of undecodable documents
  std::map<Origin, UsageTable> highestUsage_;              // highest usage read of each part
  std::uint64_t lastSequence_ = 0, fence_ = 0;
  double fenceSinceMs_ = 0;
  Stats stats_;
};

}  // namespace inference_router::shared
