#include "shared/node.h"

#include <algorithm>

namespace dahliastall::shared {

using coordination::CommitAnswer;
using coordination::Committed;
using coordination::Doc;
using coordination::Write;

namespace {

constexpr double kMinIntervalShare =
    0.25;  // of the pace, before which no word follows another even if one is wanted
constexpr std::size_t kMinObservations = 64;  // that a conductor may say in a fleet of any size
constexpr std::size_t kMaxPendingReports =
    8;  // words whose answers are not known; older ones are taken for lost

}  // namespace

SharedNode::SharedNode(SharedConfig config, std::string name, std::function<std::uint64_t()> draw,
                       double nowMs)
    : config_(std::move(config)),
      draw_(std::move(draw)),
      self_{std::move(name), draw_()},
      connectivity_(config_.connectivity, self_.incarnation, nowMs),
      budgets_(config_.budget),
      observations_(config_.observations) {
  budgets_.setLimits(config_.budgets);
}

void SharedNode::reconfigure(SharedConfig config) {
  config_ = std::move(config);
  budgets_.setLimits(config_.budgets);
}

// ---- What the front and the core say -------------------------------------------------------------------

TokenBudgets::Answer SharedNode::reserve(const std::string& tenant, std::uint64_t tokens, double nowMs) {
  TokenBudgets::Answer answer = budgets_.reserve(tenant, tokens, nowMs);
  if (answer.denial != Denial::kNone) ++stats_.denied[nameOf(answer.denial)];
  return answer;
}

void SharedNode::ended(const std::string& tenant, const std::string& cls, const Reservation& reservation,
                       const Ended& how, double nowMs) {
  budgets_.settle(reservation, how.how == Ended::How::kServed ? how.promptTokens + how.answerTokens : 0,
                  nowMs);
  const UsageKey key{tenant, cls};
  if (usage_.count(key) == 0 && usage_.size() >= kMaxUsageRows) return;
  UsageCounters& counters = usage_[key];
  switch (how.how) {
    case Ended::How::kServed:
      counters.add({1, 0, 0, how.promptTokens, how.answerTokens, 0, 0});
      break;
    case Ended::How::kRefused:
      counters.add({0, 1, 0, 0, 0, how.askedTokens, 0});
      break;
    case Ended::How::kFailed:
      counters.add({0, 0, 1, 0, 0, 0, how.askedTokens});
      break;
  }
}

// ---- What the store says -------------------------------------------------------------------------------

std::vector<std::string> SharedNode::keys() const {
  Part own;
  own.origin = self_;
  return {kDigestKey, own.key()};
}

void SharedNode::read(const std::map<std::string, Doc>& docs, double readBegunMs, double nowMs) {
  const auto digest = docs.find(kDigestKey);
  if (digest != docs.end()) readDigest(digest->second, nowMs);
  // A reading that was asked for before its own write was answered may show what was there before.
  if (writing_ || readBegunMs < lastWriteMs_) return;
  Part own;
  own.origin = self_;
  const auto doc = docs.find(own.key());
  readOwn(doc == docs.end() ? nullptr : &doc->second, nowMs);
}

void SharedNode::recordDecodeError(DecodeError error, const std::string& what, std::uint64_t revision) {
  if (undecodableRevision_ == revision) return;
  undecodableRevision_ = revision;
  ++stats_.unreadable;
  trouble_ = what + " of revision " + std::to_string(revision) + " is not believed: " + nameOf(error);
}

void SharedNode::readDigest(const Doc& doc, double nowMs) {
  if (doc.revision == digestRevision_) return;
  const DecodedDigest read = decodeDigest(doc.value);
  if (!read.digest) return recordDecodeError(read.error, "the digest", doc.revision);
  digestRevision_ = doc.revision;
  // From before what is known already: the store went back, or somebody works from an old view. What this
  // conductor knows stays until a digest goes beyond it.
  if (read.digest->sequence <= digestSequenceSeen_) {
    if (read.digest->sequence < digestSequenceSeen_) {
      ++stats_.rolledBack;
      trouble_ = "the digest went back from " + std::to_string(digestSequenceSeen_) + " to " +
                 std::to_string(read.digest->sequence);
    }
    return;
  }
  digest_ = read.digest;
  digestSequenceSeen_ = digest_->sequence;
  ++stats_.digests;
  trouble_.clear();
  nodes_.clear();
  for (const auto& [origin, sequence] : digest_->heard)
    if (nodes_.empty() || nodes_.back() != origin.name) nodes_.push_back(origin.name);
  std::map<std::string, TokenBudgets::LoanUpdate> lent;
  for (const auto& [tenant, line] : digest_->budgets) {
    const auto own = line.lent.find(self_);
    lent[tenant] = {own == line.lent.end() ? 0 : own->second, line.left};
  }
  budgets_.onDigest(digest_->period, lent);
  if (finalUsage_ && digest_->foldedOf({self_.name, finalUsage_->incarnation}) == nullptr)
    finalUsage_.reset();
  const auto heard = digest_->heard.find(self_);
  connectivity_.onDigest(heard == digest_->heard.end() ? 0 : heard->second, nowMs);
}

void SharedNode::readOwn(const Doc* doc, double nowMs) {
  ownRecordKnown_ = true;
  if (doc == nullptr) {
    const Folded* folded = digest_ ? digest_->foldedOf(self_) : nullptr;
    if (folded != nullptr) return restartAfterEviction(folded->sequence, folded->period, nowMs);
    // Never written, or lost with a store that went back: written anew as it is. Else somebody removed it,
    // and nothing tells how: what was taken last is counted already.
    const bool rolledBack = digestRevision_ != 0 && revision_ > digestRevision_;
    if (revision_ != 0 && !rolledBack)
      return restartAfterEviction(pendingReports_.empty() ? 0 : pendingReports_.front().sequence, 0, nowMs);
    revision_ = 0;
    return;
  }
  if (doc->revision == revision_) return;
  revision_ = doc->revision;
  nextMs_ = nowMs;
  const DecodedPart read = decodePart(doc->value);
  if (read.part) onReportAccepted(read.part->sequence, nowMs);
  else recordDecodeError(read.error, "this conductor's own part", doc->revision);
}

// All that it counted up to its last word is in the digest's base now, and all that it might have spent is
// charged: it goes on as a new incarnation with what it counted since, and says what it really used.
void SharedNode::restartAfterEviction(std::uint64_t lastSequence, std::uint64_t period, double nowMs) {
  ++stats_.evicted;
  // A store that went back may have folded a word from before those that are remembered: what was taken last
  // is the nearest, and errs towards too little.
  auto pending = std::find_if(pendingReports_.begin(), pendingReports_.end(),
                              [&](const PendingReport& report) { return report.sequence == lastSequence; });
  if (pending == pendingReports_.end()) pending = pendingReports_.begin();
  if (pending != pendingReports_.end()) usage_ = usageSince(usage_, pending->usage);
  const auto used = budgets_.resetAfterEviction();
  // Of another period there is nothing to reckon; it is said all the same, so that the fold is told of no
  // more.
  if (period != 0)
    finalUsage_ = FinalUsage{self_.incarnation, period,
                             period == budgets_.period() ? used : std::map<std::string, std::uint64_t>()};
  self_.incarnation = draw_();
  pendingReports_.clear();
  revision_ = 0;
  nextMs_ = nowMs;
}

double SharedNode::reportIntervalMs() const { return config_.reportIntervalMs(nodes_.size()); }

std::optional<Write> SharedNode::next(double unixMs, double nowMs) {
  connectivity_.tick(nowMs);
  if (writing_ || !ownRecordKnown_) return std::nullopt;
  const bool urgent = budgets_.needsLoan() && nowMs >= lastWriteMs_ + reportIntervalMs() * kMinIntervalShare;
  if (nowMs < nextMs_ && !urgent) return std::nullopt;
  Part part;
  part.origin = self_;
  part.sequence = ++sequence_;
  part.digestSequenceSeen = digestSequenceSeen_;
  part.unixMs = unixMs;
  part.period = budgets_.period();
  part.spends = budgets_.prepareReport(nowMs, leaving_);
  part.usage = usage_;
  part.observations = observations_.snapshot(nowMs);
  part.finalUsage = finalUsage_;
  pendingReports_.push_back({part.sequence, part.period, part.spends, part.usage, nowMs});
  // The first is the last that was taken; of those in doubt the oldest can no more be the newest.
  if (pendingReports_.size() > kMaxPendingReports) pendingReports_.erase(pendingReports_.begin() + 1);
  writing_ = true;
  // The whole fleet's parts are read by one: its share of their bytes, for which sights give way.
  std::string text = encode(part);
  while (text.size() > kMaxPartsBytes / nodes() && part.observations.size() > kMinObservations) {
    const std::size_t room = part.observations.size() * (kMaxPartsBytes / nodes()) / text.size();
    keepStrongest(part.observations, std::max(kMinObservations, room));
    text = encode(part);
  }
  return Write{part.key(), revision_, std::move(text)};
}

void SharedNode::onReportAccepted(std::uint64_t sequence, double nowMs) {
  const auto it = std::find_if(pendingReports_.begin(), pendingReports_.end(),
                               [&](const PendingReport& report) { return report.sequence == sequence; });
  if (it == pendingReports_.end()) return;  // of a store that went back, from before what is remembered
  budgets_.onReportAccepted(it->period, it->spends, it->writeBegunMs);
  connectivity_.onReportAccepted(sequence, nowMs);
  pendingReports_.erase(pendingReports_.begin(), it);
}

void SharedNode::written(const CommitAnswer& answer, double nowMs) {
  writing_ = false;
  lastWriteMs_ = nowMs;
  nextMs_ = nowMs + reportIntervalMs();
  if (answer.how == Committed::kDone) {
    ++stats_.reports;
    revision_ = answer.revision;
    onReportAccepted(sequence_, nowMs);
    return;
  }
  // Whether it was written, and over what, the next reading tells.
  if (answer.how == Committed::kConflict) ++stats_.conflicts;
  ownRecordKnown_ = false;
}

// ---- What follows --------------------------------------------------------------------------------------

ConnectivityState SharedNode::connectivityState(double nowMs) {
  connectivity_.tick(nowMs);
  return connectivity_.state();
}

std::map<std::string, Availability> SharedNode::availabilities(
    const std::map<std::string, KnownInstance>& boxes, double nowMs) const {
  static const std::map<std::string, HealthVerdict> kNone;
  const ConnectivityState state = connectivity_.state();
  return shared::availabilities(
      {digest_ ? digest_->boxes : kNone, boxes, observations_, nodes_, self_.name, digestSequenceSeen_,
       state == ConnectivityState::kConnected || state == ConnectivityState::kDelayed,
       config_.maxExcludedShare, config_.probeDigests},
      nowMs);
}

}  // namespace dahliastall::shared
