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
#include "shared/terms.h"
#include "shared/words.h"

namespace dahliastall::shared {

class DigestTask final : public coordination::FleetTask {
 public:
  struct Happened {
    std::uint64_t folded = 0, wentBack = 0, refunded = 0, incredible = 0, backwards = 0;
    std::map<std::string, std::uint64_t> unread;  // by flaw, each revision of a document once
  };

  // unixMs: the machine's wall clock. terms: read at each step, as a reload may change them.
  DigestTask(coordination::TaskTerms task, std::function<SharedTerms()> terms,
             std::function<double()> unixMs);

  const coordination::TaskTerms& terms() const override { return task_; }
  std::optional<coordination::Step> next(const coordination::View& view, std::uint64_t fence,
                                         double nowMs) override;
  const Happened& happened() const { return happened_; }

 private:
  struct Read {
    Part part;
    std::uint64_t revision;
    double ageMs;  // for how long this holder has seen it unchanged: never too long
  };
  std::map<Origin, Read> partsIn(const coordination::View& view, double nowMs);
  void note(const std::string& key, std::uint64_t revision, Flaw flaw);
  void noticeRestored(Digest& digest, const std::map<Origin, Read>& parts);
  void turnPeriod(Digest& digest, const std::map<Origin, Read>& parts);
  void settle(Digest& digest, const std::map<Origin, Read>& parts);
  std::vector<coordination::Write> fold(Digest& digest, std::map<Origin, Read>& parts, double nowMs);
  void lendAll(Digest& digest, const std::map<Origin, Read>& parts, std::uint64_t fence, double nowMs);
  void updateVerdicts(Digest& digest, const std::map<Origin, Read>& parts);
  void count(Digest& digest, const std::map<Origin, Read>& parts);

  coordination::TaskTerms task_;
  std::function<SharedTerms()> read_;
  std::function<double()> unixMs_;
  SharedTerms terms_;
  coordination::Seen seen_;
  std::map<std::string, std::uint64_t> noted_;  // flawed documents: the revision that was counted
  std::map<Origin, Tallies> known_;             // of each part, the most that it ever said
  std::uint64_t lastBeat_ = 0, fence_ = 0;
  double fenceSinceMs_ = 0;
  Happened happened_;
};

}  // namespace dahliastall::shared
