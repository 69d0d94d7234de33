// The task of the one conductor that makes a digest of all parts: it lends budgets, folds the parts of those
// that are gone, and judges boxes by all that was seen. Each step is one change of documents, from the digest
// that it read and under the lease's fence; a step from an old view is refused by the store. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "coordination/seen.h"
#include "coordination/task.h"
#include "shared/codec.h"
#include "shared/config.h"

namespace dahliastall::shared {

class DigestTask final : public coordination::FleetTask {
 public:
  struct Stats {
    std::uint64_t folded = 0, rolledBack = 0, refunded = 0, incredible = 0, backwards = 0;
    std::map<std::string, std::uint64_t> unread;  // by flaw, each revision of a document once
  };

  // unixMs: the machine's wall clock. terms: read at each step, as a reload may change them.
  DigestTask(coordination::TaskConfig task, std::function<SharedConfig()> config,
             std::function<double()> unixMs);

  const coordination::TaskConfig& config() const override { return task_; }
  std::optional<coordination::Step> next(const coordination::View& view, std::uint64_t fence,
                                         double nowMs) override;
  const Stats& stats() const { return stats_; }

 private:
  struct Read {
    Part part;
    std::uint64_t revision;
    double ageMs;  // for how long this holder has seen it unchanged: never too long
  };
  std::map<Origin, Read> readParts(const coordination::View& view, double nowMs);
  void countUndecodable(const std::string& key, std::uint64_t revision, DecodeError error);
  void detectRollback(Digest& digest, const std::map<Origin, Read>& parts);
  void advancePeriod(Digest& digest, const std::map<Origin, Read>& parts);
  void settle(Digest& digest, const std::map<Origin, Read>& parts);
  std::vector<coordination::Write> fold(Digest& digest, std::map<Origin, Read>& parts, double nowMs);
  void lendBudgets(Digest& digest, const std::map<Origin, Read>& parts, std::uint64_t fence, double nowMs);
  void updateVerdicts(Digest& digest, const std::map<Origin, Read>& parts);
  void count(Digest& digest, const std::map<Origin, Read>& parts);

  coordination::TaskConfig task_;
  std::function<SharedConfig()> read_;
  std::function<double()> unixMs_;
  SharedConfig config_;
  coordination::Seen ages_;
  std::map<std::string, std::uint64_t> countedRevisions_;  // flawed documents: the revision that was counted
  std::map<Origin, UsageTable> known_;                     // of each part, the most that it ever said
  std::uint64_t lastSequence_ = 0, fence_ = 0;
  double fenceSinceMs_ = 0;
  Stats stats_;
};

}  // namespace dahliastall::shared
