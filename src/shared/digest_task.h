/// The task of the one router that holds the digest's lease: it makes a digest of all parts,
/// lends budgets, folds the parts of routers that are gone, and decides the verdicts on
/// instances. Each step is one transaction on the documents that it read, under the lease's fence;
/// the store rejects a step from a stale view. No I/O.
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

class DigestTask final : public coordination::FleetTask {
 public:
  /// Counters since the start.
  struct Stats {
    std::uint64_t folded = 0, rollbacks = 0, refunded = 0, ignoredWitnesses = 0,
                  decreasedCounters = 0;
    std::map<std::string, std::uint64_t>
        undecodable;  ///< by decode error, each revision of a document once
  };

  /// config: read at each step, as a reload may change it. unixMs: the machine's wall clock.
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
  // Decodes the parts of a view; ignores and counts those that are invalid.
  std::map<Origin, Read> readParts(const coordination::View& view, double nowMs);
  void countUndecodable(const std::string& key, std::uint64_t revision, DecodeError error);
  // Suspends lending if some part knows a newer digest than the store has.
  void detectRollback(Digest& digest, const std::map<Origin, Read>& parts);
  // Begins the period of the median clock; never goes back.
  void advancePeriod(Digest& digest, const std::map<Origin, Read>& parts);
  // Refunds evicted incarnations that reported what they really used.
  void settle(Digest& digest, const std::map<Origin, Read>& parts);
  double evictionDelayMs(const std::map<Origin, Read>& parts,
                         const Origin& origin,
                         double ageMs) const;
  // Folds the parts of routers that are gone; returns the removals.
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
  std::map<Origin, UsageTable> highestUsage_;              // highest usage of each part
  std::uint64_t lastSequence_ = 0, fence_ = 0;
  double fenceSinceMs_ = 0;
  Stats stats_;
};

}  // namespace inference_router::shared
