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
#include "shared/remote_health.h"
#include "shared/terms.h"
#include "shared/words.h"

namespace dahliastall::shared {

class SharedNode {
 public:
  struct Happened {  // counted since the start
    std::uint64_t words = 0, conflicts = 0, foldedAway = 0, digests = 0, wentBack = 0, unreadable = 0;
    std::map<std::string, std::uint64_t> denied;  // by reason
  };

  // draw: numbers for incarnations; each has to be new.
  SharedNode(SharedTerms terms, std::string name, std::function<std::uint64_t()> draw, double nowMs);

  // New terms under way: budgets, shares, times.
  void reconfigure(SharedTerms terms);

  // ---- What the front and the core say ----
  Purse::Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
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
  void read(const std::map<std::string, coordination::Doc>& docs, double begunMs, double nowMs);

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
  Degree degree(double nowMs);
  double silenceMs(double nowMs) const { return hearing_.silenceMs(nowMs); }
  double periodEndsMs() const { return digest_ ? digest_->periodEndsMs : 0; }

  const Origin& self() const { return self_; }
  const std::optional<Digest>& digest() const { return digest_; }
  const Purse& purse() const { return purse_; }
  const Tallies& tallies() const { return tallies_; }
  const Happened& happened() const { return happened_; }
  const SharedTerms& terms() const { return terms_; }
  // Plain words on what was last found wrong in the store; empty if nothing is.
  const std::string& trouble() const { return trouble_; }

 private:
  void readDigest(const coordination::Doc& doc, double nowMs);
  void readOwn(const coordination::Doc* doc, double nowMs);
  void foldedAway(std::uint64_t lastWord, std::uint64_t period, double nowMs);
  void taken(std::uint64_t word, double nowMs);
  void flaw(Flaw flaw, const std::string& what, std::uint64_t revision);
  double paceMs() const;

  SharedTerms terms_;
  std::function<std::uint64_t()> draw_;
  Origin self_;
  Hearing hearing_;
  Purse purse_;
  LocalObservations observations_;
  Tallies tallies_;  // of this incarnation
  std::optional<Digest> digest_;
  std::uint64_t digestRevision_ = 0, flawedRevision_ = 0;
  std::uint64_t beatSeen_ = 0;
  std::vector<std::string> nodes_;

  // Its own document: as it was last known, and the words that the store may have.
  struct Said {
    std::uint64_t word = 0, period = 0;
    std::map<std::string, Spend> spends;
    Tallies tallies;
    double begunMs = 0;
  };
  std::deque<Said> said_;  // the last that was taken first, then those whose answer is not known
  std::uint64_t revision_ = 0, word_ = 0;
  bool known_ = false, writing_ = false, leaving_ = false;
  double nextMs_ = 0, answeredMs_ = 0;
  std::optional<Settled> settled_;  // of an incarnation that was folded, until the lender has taken it in
  std::string trouble_;
  Happened happened_;
};

}  // namespace dahliastall::shared
