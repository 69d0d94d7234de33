// One conductor's share in what the fleet knows: it is told what the store has, and says what to write there
// next. Puts the parts together; carries nothing itself. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store.h"
#include "shared/codec.h"
#include "shared/config.h"
#include "shared/remote_health.h"

namespace dahliastall::shared {

class SharedNode {
 public:
  struct Stats {  // counted since the start
    std::uint64_t reports = 0, conflicts = 0, evicted = 0, digests = 0, rolledBack = 0, unreadable = 0;
    std::map<std::string, std::uint64_t> denied;  // by reason
  };

  // draw: numbers for incarnations; each has to be new.
  SharedNode(SharedConfig config, std::string name, std::function<std::uint64_t()> draw, double nowMs);

  // New terms under way: budgets, shares, times.
  void reconfigure(SharedConfig config);

  // ---- What the front and the core say ----
  TokenBudgets::Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
  struct Ended {
    enum class How : std::uint8_t { kServed, kRefused, kFailed } how = How::kFailed;
    std::uint64_t promptTokens = 0, answerTokens = 0;  // served: as the box counted them
    std::uint64_t askedTokens = 0;                     // the most that it could have come to
  };
  void ended(const std::string& tenant, const std::string& cls, const Reservation& reservation,
             const Ended& how, double nowMs);
  LocalObservations& observations() { return observations_; }

  // ---- What the store says ----
  // The keys that this conductor has to read.
  std::vector<std::string> keys() const;
  // What was read; begunMs is when the reading was asked for. An empty document is one that is not there.
  void read(const std::map<std::string, coordination::Doc>& docs, double readBegunMs, double nowMs);

  // What to write, if it is time; nothing while a write is under way.
  std::optional<coordination::Write> next(double unixMs, double nowMs);
  // It takes no more requests, so that its next word gives back what it does not need; or does so again.
  void leave(bool leaving) {
    leaving_ = leaving;
    nextMs_ = 0;
  }
  void written(const coordination::CommitAnswer& answer, double nowMs);

  // ---- What follows ----
  std::map<std::string, Availability> availabilities(const std::map<std::string, KnownInstance>& boxes,
                                                     double nowMs) const;
  // How many conductors speak, with this one; at least one.
  std::size_t nodes() const { return std::max<std::size_t>(1, nodes_.size()); }
  ConnectivityState connectivityState(double nowMs);
  double silenceMs(double nowMs) const { return connectivity_.silenceMs(nowMs); }
  double periodEndsMs() const { return digest_ ? digest_->periodEndsMs : 0; }

  const Origin& self() const { return self_; }
  const std::optional<Digest>& digest() const { return digest_; }
  const TokenBudgets& budgets() const { return budgets_; }
  const UsageTable& usage() const { return usage_; }
  const Stats& stats() const { return stats_; }
  const SharedConfig& config() const { return config_; }
  // Plain words on what was last found wrong in the store; empty if nothing is.
  const std::string& trouble() const { return trouble_; }

 private:
  void readDigest(const coordination::Doc& doc, double nowMs);
  void readOwn(const coordination::Doc* doc, double nowMs);
  void restartAfterEviction(std::uint64_t lastSequence, std::uint64_t period, double nowMs);
  void onReportAccepted(std::uint64_t sequence, double nowMs);
  void recordDecodeError(DecodeError error, const std::string& what, std::uint64_t revision);
  double reportIntervalMs() const;

  SharedConfig config_;
  std::function<std::uint64_t()> draw_;
  Origin self_;
  Connectivity connectivity_;
  TokenBudgets budgets_;
  LocalObservations observations_;
  UsageTable usage_;  // of this incarnation
  std::optional<Digest> digest_;
  std::uint64_t digestRevision_ = 0, undecodableRevision_ = 0;
  std::uint64_t digestSequenceSeen_ = 0;
  std::vector<std::string> nodes_;

  // Its own document: as it was last known, and the words that the store may have.
  struct PendingReport {
    std::uint64_t sequence = 0, period = 0;
    std::map<std::string, Spend> spends;
    UsageTable usage;
    double writeBegunMs = 0;
  };
  std::deque<PendingReport>
      pendingReports_;  // the last that was taken first, then those whose answer is not known
  std::uint64_t revision_ = 0, sequence_ = 0;
  bool ownRecordKnown_ = false, writing_ = false, leaving_ = false;
  double nextMs_ = 0, lastWriteMs_ = 0;
  std::optional<FinalUsage>
      finalUsage_;  // of an incarnation that was folded, until the lender has taken it in
  std::string trouble_;
  Stats stats_;
};

}  // namespace dahliastall::shared
