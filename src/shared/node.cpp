#include "shared/node.h"

#include <algorithm>

namespace dahliastall::shared {

using coordination::CommitAnswer;
using coordination::Committed;
using coordination::Doc;
using coordination::Write;

namespace {

constexpr double kHurryShare =
    0.25;  // of the pace, before which no word follows another even if one is wanted
constexpr std::size_t kMinObservations = 64;  // that a conductor may say in a fleet of any size
constexpr std::size_t kMostSaid = 8;  // words whose answers are not known; older ones are taken for lost

}  // namespace

SharedNode::SharedNode(SharedTerms terms, std::string name, std::function<std::uint64_t()> draw, double nowMs)
    : terms_(std::move(terms)),
      draw_(std::move(draw)),
      self_{std::move(name), draw_()},
      hearing_(terms_.hearing, self_.incarnation, nowMs),
      purse_(terms_.budget),
      observations_(terms_.observations) {
  purse_.budgets(terms_.budgets);
}

void SharedNode::reconfigure(SharedTerms terms) {
  terms_ = std::move(terms);
  purse_.budgets(terms_.budgets);
}

// ---- What the front and the core say -------------------------------------------------------------------

Purse::Answer SharedNode::reserve(const std::string& tenant, std::uint64_t tokens, double nowMs) {
  const Purse::Answer answer = purse_.reserve(tenant, tokens, nowMs);
  if (answer.denial != Denial::kNone) ++happened_.denied[nameOf(answer.denial)];
  return answer;
}

void SharedNode::ended(const std::string& tenant, const std::string& cls, const Reservation& reservation,
                       const Ended& how, double nowMs) {
  purse_.settle(reservation, how.how == Ended::How::kServed ? how.promptTokens + how.answerTokens : 0, nowMs);
  const TallyKey key{tenant, cls};
  if (tallies_.count(key) == 0 && tallies_.size() >= kMostTallies) return;
  Tally& tally = tallies_[key];
  switch (how.how) {
    case Ended::How::kServed:
      tally.add({1, 0, 0, how.promptTokens, how.answerTokens, 0, 0});
      break;
    case Ended::How::kRefused:
      tally.add({0, 1, 0, 0, 0, how.askedTokens, 0});
      break;
    case Ended::How::kFailed:
      tally.add({0, 0, 1, 0, 0, 0, how.askedTokens});
      break;
  }
}

// ---- What the store says -------------------------------------------------------------------------------

std::vector<std::string> SharedNode::keys() const {
  Part own;
  own.origin = self_;
  return {kDigestKey, own.key()};
}

void SharedNode::read(const std::map<std::string, Doc>& docs, double begunMs, double nowMs) {
  const auto digest = docs.find(kDigestKey);
  if (digest != docs.end()) readDigest(digest->second, nowMs);
  // A reading that was asked for before its own write was answered may show what was there before.
  if (writing_ || begunMs < answeredMs_) return;
  Part own;
  own.origin = self_;
  const auto doc = docs.find(own.key());
  readOwn(doc == docs.end() ? nullptr : &doc->second, nowMs);
}

void SharedNode::flaw(Flaw flaw, const std::string& what, std::uint64_t revision) {
  if (flawedRevision_ == revision) return;
  flawedRevision_ = revision;
  ++happened_.unreadable;
  trouble_ = what + " of revision " + std::to_string(revision) + " is not believed: " + nameOf(flaw);
}

void SharedNode::readDigest(const Doc& doc, double nowMs) {
  if (doc.revision == digestRevision_) return;
  const DigestRead read = digestOf(doc.value);
  if (!read.digest) return flaw(read.flaw, "the digest", doc.revision);
  digestRevision_ = doc.revision;
  // From before what is known already: the store went back, or somebody works from an old view. What this
  // conductor knows stays until a digest goes beyond it.
  if (read.digest->beat <= beatSeen_) {
    if (read.digest->beat < beatSeen_) {
      ++happened_.wentBack;
      trouble_ = "the digest went back from " + std::to_string(beatSeen_) + " to " +
                 std::to_string(read.digest->beat);
    }
    return;
  }
  digest_ = read.digest;
  beatSeen_ = digest_->beat;
  ++happened_.digests;
  trouble_.clear();
  nodes_.clear();
  for (const auto& [origin, word] : digest_->heard)
    if (nodes_.empty() || nodes_.back() != origin.name) nodes_.push_back(origin.name);
  std::map<std::string, Purse::Told> lent;
  for (const auto& [tenant, line] : digest_->budgets) {
    const auto own = line.lent.find(self_);
    lent[tenant] = {own == line.lent.end() ? 0 : own->second, line.left};
  }
  purse_.told(digest_->period, lent);
  if (settled_ && digest_->foldedOf({self_.name, settled_->incarnation}) == nullptr) settled_.reset();
  const auto heard = digest_->heard.find(self_);
  hearing_.digest(heard == digest_->heard.end() ? 0 : heard->second, nowMs);
}

void SharedNode::readOwn(const Doc* doc, double nowMs) {
  known_ = true;
  if (doc == nullptr) {
    const Folded* folded = digest_ ? digest_->foldedOf(self_) : nullptr;
    if (folded != nullptr) return foldedAway(folded->word, folded->period, nowMs);
    // Never written, or lost with a store that went back: written anew as it is. Else somebody removed it,
    // and nothing tells how: what was taken last is counted already.
    const bool wentBack = digestRevision_ != 0 && revision_ > digestRevision_;
    if (revision_ != 0 && !wentBack) return foldedAway(said_.empty() ? 0 : said_.front().word, 0, nowMs);
    revision_ = 0;
    return;
  }
  if (doc->revision == revision_) return;
  revision_ = doc->revision;
  nextMs_ = nowMs;
  const PartRead read = partOf(doc->value);
  if (read.part) taken(read.part->word, nowMs);
  else flaw(read.flaw, "this conductor's own part", doc->revision);
}

// All that it counted up to its last word is in the digest's base now, and all that it might have spent is
// charged: it goes on as a new incarnation with what it counted since, and says what it really used.
void SharedNode::foldedAway(std::uint64_t lastWord, std::uint64_t period, double nowMs) {
  ++happened_.foldedAway;
  // A store that went back may have folded a word from before those that are remembered: what was taken last
  // is the nearest, and errs towards too little.
  auto said = std::find_if(said_.begin(), said_.end(), [&](const Said& one) { return one.word == lastWord; });
  if (said == said_.end()) said = said_.begin();
  if (said != said_.end()) tallies_ = beyond(tallies_, said->tallies);
  const auto used = purse_.foldedAway();
  // Of another period there is nothing to reckon; it is said all the same, so that the fold is told of no
  // more.
  if (period != 0)
    settled_ = Settled{self_.incarnation, period,
                       period == purse_.period() ? used : std::map<std::string, std::uint64_t>()};
  self_.incarnation = draw_();
  said_.clear();
  revision_ = 0;
  nextMs_ = nowMs;
}

double SharedNode::paceMs() const { return terms_.paceMs(nodes_.size()); }

std::optional<Write> SharedNode::next(double unixMs, double nowMs) {
  hearing_.tick(nowMs);
  if (writing_ || !known_) return std::nullopt;
  const bool hurry = purse_.wanting() && nowMs >= answeredMs_ + paceMs() * kHurryShare;
  if (nowMs < nextMs_ && !hurry) return std::nullopt;
  Part part;
  part.origin = self_;
  part.word = ++word_;
  part.beatSeen = beatSeen_;
  part.unixMs = unixMs;
  part.period = purse_.period();
  part.spends = purse_.say(nowMs, leaving_);
  part.tallies = tallies_;
  part.observations = observations_.snapshot(nowMs);
  part.settled = settled_;
  said_.push_back({part.word, part.period, part.spends, part.tallies, nowMs});
  // The first is the last that was taken; of those in doubt the oldest can no more be the newest.
  if (said_.size() > kMostSaid) said_.erase(said_.begin() + 1);
  writing_ = true;
  // The whole fleet's parts are read by one: its share of their bytes, for which sights give way.
  std::string text = textOf(part);
  while (text.size() > kAllPartsBytes / nodes() && part.observations.size() > kMinObservations) {
    const std::size_t room = part.observations.size() * (kAllPartsBytes / nodes()) / text.size();
    keepStrongest(part.observations, std::max(kMinObservations, room));
    text = textOf(part);
  }
  return Write{part.key(), revision_, std::move(text)};
}

void SharedNode::taken(std::uint64_t word, double nowMs) {
  const auto it = std::find_if(said_.begin(), said_.end(), [&](const Said& one) { return one.word == word; });
  if (it == said_.end()) return;  // of a store that went back, from before what is remembered
  purse_.taken(it->period, it->spends, it->begunMs);
  hearing_.spoke(word, nowMs);
  said_.erase(said_.begin(), it);
}

void SharedNode::written(const CommitAnswer& answer, double nowMs) {
  writing_ = false;
  answeredMs_ = nowMs;
  nextMs_ = nowMs + paceMs();
  if (answer.how == Committed::kDone) {
    ++happened_.words;
    revision_ = answer.revision;
    taken(word_, nowMs);
    return;
  }
  // Whether it was written, and over what, the next reading tells.
  if (answer.how == Committed::kConflict) ++happened_.conflicts;
  known_ = false;
}

// ---- What follows --------------------------------------------------------------------------------------

Degree SharedNode::degree(double nowMs) {
  hearing_.tick(nowMs);
  return hearing_.degree();
}

std::map<std::string, Availability> SharedNode::availabilities(
    const std::map<std::string, KnownInstance>& boxes, double nowMs) const {
  static const std::map<std::string, HealthVerdict> kNone;
  const Degree degree = hearing_.degree();
  return shared::availabilities(
      {digest_ ? digest_->boxes : kNone, boxes, observations_, nodes_, self_.name, beatSeen_,
       degree == Degree::kConnected || degree == Degree::kLate, terms_.maxExcludedShare, terms_.probeDigests},
      nowMs);
}

}  // namespace dahliastall::shared
