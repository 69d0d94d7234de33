#include "shared/node.h"

#include <algorithm>

#include "shared/digest_codec.h"
#include "shared/part_codec.h"

namespace inference_router::shared {

using coordination::CommitResponse;
using coordination::CommitStatus;
using coordination::Document;
using coordination::Write;

namespace {

// Minimum share of the report interval between two reports, even urgent ones.
constexpr double kMinIntervalShare = 0.25;
// Observations that a report may always contain, however large the fleet is.
constexpr std::size_t kMinObservations = 64;
// Reports that are retained: the last accepted one, and the newest of those with unknown result.
constexpr std::size_t kMaxPendingReports = 8;

}  // namespace

SharedNode::SharedNode(SharedConfig config,
                       std::string name,
                       std::function<std::uint64_t()> newIncarnation,
                       double nowMs)
    : config_(std::move(config)),
      newIncarnation_(std::move(newIncarnation)),
      self_{std::move(name), newIncarnation_()},
      connectivity_(config_.connectivity, self_.incarnation, nowMs),
      budgets_(config_.budget),
      observations_(config_.observations) {
  budgets_.setLimits(config_.budgets);
}

void SharedNode::reconfigure(SharedConfig config) {
  config_ = std::move(config);
  budgets_.setLimits(config_.budgets);
}

// ---- Input from requests ----

TokenBudgets::Answer SharedNode::reserve(const std::string& tenant,
                                         std::uint64_t tokens,
                                         double nowMs) {
  TokenBudgets::Answer answer = budgets_.reserve(tenant, tokens, nowMs);
  if (answer.denial != Denial::kNone)
    ++stats_.denied[nameOf(answer.denial)];
  return answer;
}

void SharedNode::settleRequest(const std::string& tenant,
                               const std::string& requestClass,
                               const Reservation& reservation,
                               const RequestUsage& usage,
                               double nowMs) {
  budgets_.settle(
      reservation,
      usage.outcome == RequestUsage::Outcome::kServed ? usage.promptTokens + usage.answerTokens : 0,
      nowMs);
  const UsageKey key{tenant, requestClass};
  if (usage_.count(key) == 0 && usage_.size() >= kMaxUsageRows)
    return;
  UsageCounters& counters = usage_[key];
  switch (usage.outcome) {
    case RequestUsage::Outcome::kServed:
      counters.add({1, 0, 0, usage.promptTokens, usage.answerTokens, 0, 0});
      break;
    case RequestUsage::Outcome::kRefused:
      counters.add({0, 1, 0, 0, 0, usage.requestedTokens, 0});
      break;
    case RequestUsage::Outcome::kFailed:
      counters.add({0, 0, 1, 0, 0, 0, usage.requestedTokens});
      break;
  }
}

// ---- Input from the store ----

std::vector<std::string> SharedNode::keys() const {
  Part own;
  own.origin = self_;
  return {kDigestKey, own.key()};
}

void SharedNode::onRead(const std::map<std::string, Document>& documents,
                        double readBegunMs,
                        double nowMs) {
  const auto digest = documents.find(kDigestKey);
  if (digest != documents.end())
    readDigest(digest->second, nowMs);
  // A read that was issued before the last write completed may show the state before that write.
  if (writing_ || readBegunMs < lastWriteMs_)
    return;
  Part own;
  own.origin = self_;
  const auto document = documents.find(own.key());
  readOwn(document == documents.end() ? nullptr : &document->second, nowMs);
}

void SharedNode::recordDecodeError(DecodeError error,
                                   const std::string& what,
                                   std::uint64_t revision) {
  if (undecodableRevision_ == revision)
    return;
  undecodableRevision_ = revision;
  ++stats_.undecodable;
  lastError_ =
      what + " of revision " + std::to_string(revision) + " is not believed: " + nameOf(error);
}

void SharedNode::readDigest(const Document& document, double nowMs) {
  if (document.revision == digestRevision_)
    return;
  const DecodedDigest read = decodeDigest(document.value);
  if (!read.digest)
    return recordDecodeError(read.error, "the digest", document.revision);
  digestRevision_ = document.revision;
  // The digest is older than the known one: the store was rolled back, or a lease holder works on a
  // stale view. The known digest stays in use until a newer one arrives.
  if (read.digest->sequence <= digestSequenceSeen_) {
    if (read.digest->sequence < digestSequenceSeen_) {
      ++stats_.rollbacks;
      lastError_ = "the sequence of the digest decreased from " +
                   std::to_string(digestSequenceSeen_) + " to " +
                   std::to_string(read.digest->sequence);
    }
    return;
  }
  digest_ = read.digest;
  digestSequenceSeen_ = digest_->sequence;
  ++stats_.digests;
  lastError_.clear();
  nodes_.clear();
  for (const auto& [origin, sequence] : digest_->liveNodes)
    if (nodes_.empty() || nodes_.back() != origin.name)
      nodes_.push_back(origin.name);
  std::map<std::string, TokenBudgets::LoanUpdate> lent;
  for (const auto& [tenant, line] : digest_->budgets) {
    const auto own = line.lent.find(self_);
    lent[tenant] = {own == line.lent.end() ? 0 : own->second, line.available};
  }
  budgets_.onDigest(digest_->period, lent);
  if (finalUsage_ && digest_->foldedOf({self_.name, finalUsage_->incarnation}) == nullptr)
    finalUsage_.reset();
  const auto heard = digest_->liveNodes.find(self_);
  connectivity_.onDigest(heard == digest_->liveNodes.end() ? 0 : heard->second, nowMs);
}

void SharedNode::readOwn(const Document* document, double nowMs) {
  ownPartKnown_ = true;
  if (document == nullptr) {
    const Folded* folded = digest_ ? digest_->foldedOf(self_) : nullptr;
    if (folded != nullptr)
      return restartAfterEviction(folded->sequence, folded->period, nowMs);
    // If the part was never written, or was lost in a rollback, it is written again. Otherwise
    // it was removed without an entry in the digest, and the last accepted report counts as folded.
    const bool rolledBack = digestRevision_ != 0 && revision_ > digestRevision_;
    if (revision_ != 0 && !rolledBack)
      return restartAfterEviction(pendingReports_.empty() ? 0 : pendingReports_.front().sequence, 0,
                                  nowMs);
    revision_ = 0;
    return;
  }
  if (document->revision == revision_)
    return;
  revision_ = document->revision;
  nextMs_ = nowMs;
  const DecodedPart read = decodePart(document->value);
  if (read.part)
    onReportAccepted(read.part->sequence, nowMs);
  else
    recordDecodeError(read.error, "this router's own part", document->revision);
}

// The usage up to the last report is included in the digest's base, and all that this incarnation
// might have spent was charged. The router continues as a new incarnation with the usage since
// then, and reports what it actually spent.
void SharedNode::restartAfterEviction(std::uint64_t lastSequence,
                                      std::uint64_t period,
                                      double nowMs) {
  ++stats_.evicted;
  // After a rollback, the folded report may be one that is no longer in pendingReports_. The last
  // accepted report is the closest to it, and using it can only count too little.
  auto pending =
      std::find_if(pendingReports_.begin(), pendingReports_.end(),
                   [&](const PendingReport& report) { return report.sequence == lastSequence; });
  if (pending == pendingReports_.end())
    pending = pendingReports_.begin();
  if (pending != pendingReports_.end())
    usage_ = usageSince(usage_, pending->usage);
  const auto used = budgets_.resetAfterEviction();
  // For another period there is nothing to refund. The usage is reported nevertheless, so that the
  // lender drops the entry.
  if (period != 0)
    finalUsage_ =
        FinalUsage{self_.incarnation, period,
                   period == budgets_.period() ? used : std::map<std::string, std::uint64_t>()};
  self_.incarnation = newIncarnation_();
  pendingReports_.clear();
  revision_ = 0;
  nextMs_ = nowMs;
}

double SharedNode::reportIntervalMs() const {
  return config_.reportIntervalMs(nodes_.size());
}

std::optional<Write> SharedNode::nextReport(double unixMs, double nowMs) {
  connectivity_.tick(nowMs);
  if (writing_ || !ownPartKnown_)
    return std::nullopt;
  const bool urgent =
      budgets_.needsLoan() && nowMs >= lastWriteMs_ + reportIntervalMs() * kMinIntervalShare;
  if (nowMs < nextMs_ && !urgent)
    return std::nullopt;
  Part part;
  part.origin = self_;
  part.sequence = ++sequence_;
  part.digestSequenceSeen = digestSequenceSeen_;
  part.unixMs = unixMs;
  part.period = budgets_.period();
  part.spends = budgets_.prepareReport(nowMs, draining_);
  part.usage = usage_;
  part.observations = observations_.snapshot(nowMs);
  part.finalUsage = finalUsage_;
  pendingReports_.push_back({part.sequence, part.period, part.spends, part.usage, nowMs});
  // The first entry is the last accepted report. Of the others, the oldest is the least likely to
  // be the one in the store.
  if (pendingReports_.size() > kMaxPendingReports)
    pendingReports_.erase(pendingReports_.begin() + 1);
  writing_ = true;
  // The router that computes the digest reads all parts, so each part is limited to an equal share
  // of kMaxPartsBytes; observations are dropped to stay within it.
  std::string text = encode(part);
  while (text.size() > kMaxPartsBytes / nodes() && part.observations.size() > kMinObservations) {
    const std::size_t maxObservations =
        part.observations.size() * (kMaxPartsBytes / nodes()) / text.size();
    keepStrongest(part.observations, std::max(kMinObservations, maxObservations));
    text = encode(part);
  }
  return Write{part.key(), revision_, std::move(text)};
}

void SharedNode::onReportAccepted(std::uint64_t sequence, double nowMs) {
  const auto it =
      std::find_if(pendingReports_.begin(), pendingReports_.end(),
                   [&](const PendingReport& report) { return report.sequence == sequence; });
  if (it == pendingReports_.end())
    return;  // dropped from pendingReports_, which is possible after a rollback
  budgets_.onReportAccepted(it->period, it->spends, it->writeBegunMs);
  connectivity_.onReportAccepted(sequence, nowMs);
  pendingReports_.erase(pendingReports_.begin(), it);
}

void SharedNode::onWritten(const CommitResponse& response, double nowMs) {
  writing_ = false;
  lastWriteMs_ = nowMs;
  nextMs_ = nowMs + reportIntervalMs();
  if (response.status == CommitStatus::kDone) {
    ++stats_.reports;
    revision_ = response.revision;
    onReportAccepted(sequence_, nowMs);
    return;
  }
  // The next read shows whether the part was written.
  if (response.status == CommitStatus::kConflict)
    ++stats_.conflicts;
  ownPartKnown_ = false;
}

// ---- Decisions and state ----

ConnectivityState SharedNode::connectivityState(double nowMs) {
  connectivity_.tick(nowMs);
  return connectivity_.state();
}

std::map<std::string, Availability> SharedNode::availabilities(
    const std::map<std::string, KnownInstance>& instances,
    double nowMs) const {
  static const std::map<std::string, HealthVerdict> kNone;
  const ConnectivityState state = connectivity_.state();
  return shared::availabilities(
      {digest_ ? digest_->instances : kNone, instances, observations_, nodes_, self_.name,
       digestSequenceSeen_,
       state == ConnectivityState::kConnected || state == ConnectivityState::kDelayed,
       config_.maxExcludedShare, config_.probeDigests},
      nowMs);
}

}  // namespace inference_router::shared
