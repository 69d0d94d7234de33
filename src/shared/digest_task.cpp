#include "shared/digest_task.h"

#include <algorithm>
#include <cmath>

namespace dahliastall::shared {

using coordination::Doc;
using coordination::Step;
using coordination::View;
using coordination::Write;

namespace {

constexpr std::size_t kMostFolds = 64;  // in one step
static_assert(kMostFolds < coordination::kMostWrites);
constexpr double kSettlePaces = 2;    // words' paces that a new holder waits before it lends
constexpr double kLapseMargin = 1.1;  // times a loan's time: drift, and a step under way

}  // namespace

DigestTask::DigestTask(coordination::TaskTerms task, std::function<SharedTerms()> terms,
                       std::function<double()> unixMs)
    : task_(std::move(task)), read_(std::move(terms)), unixMs_(std::move(unixMs)), terms_(read_()) {}

void DigestTask::note(const std::string& key, std::uint64_t revision, Flaw flaw) {
  std::uint64_t& last = noted_[key];
  if (last == revision) return;
  last = revision;
  ++happened_.unread[nameOf(flaw)];
}

std::map<Origin, DigestTask::Read> DigestTask::partsIn(const View& view, double nowMs) {
  std::map<Origin, Read> parts;
  const std::string prefix = kPartPrefix;
  for (auto it = view.docs.lower_bound(prefix); it != view.docs.end() && it->first.rfind(prefix, 0) == 0;
       ++it) {
    const PartRead read = partOf(it->second.value);
    // One that lies under another's key is nobody's word.
    const bool own = read.part && read.part->key() == it->first;
    if (!own || parts.size() >= kMostOrigins) {
      note(it->first, it->second.revision,
           read.part ? (own ? Flaw::kBeyondBounds : Flaw::kForeign) : read.flaw);
      continue;
    }
    parts[read.part->origin] = {*read.part, it->second.revision,
                                seen_.forMs(it->first, it->second.revision, nowMs)};
  }
  seen_.forget(
      [&](const std::string& key) { return key.rfind(prefix, 0) == 0 && view.docs.count(key) == 0; });
  std::erase_if(noted_, [&](const auto& entry) { return view.docs.count(entry.first) == 0; });
  std::erase_if(known_, [&](const auto& entry) { return parts.count(entry.first) == 0; });
  return parts;
}

// A digest that is behind what somebody knows was put back. Nothing is lent until every loan that is not
// known of any more must have lapsed; those that live say meanwhile what they were lent.
void DigestTask::noticeRestored(Digest& digest, const std::map<Origin, Read>& parts) {
  std::uint64_t newest = lastBeat_;
  for (const auto& [origin, read] : parts) newest = std::max(newest, read.part.beatSeen);
  if (newest <= digest.beat) return;
  digest.beat = newest;
  ++digest.restored;
  ++happened_.wentBack;
  const double loans = terms_.budget.loanMs * kLapseMargin / std::max(1.0, task_.periodMs);
  digest.lendsFromBeat = digest.beat + static_cast<std::uint64_t>(std::ceil(loans)) + 1;
}

// By the clock in the middle of all that are told, so that one that is off changes nothing among three. A
// period never goes back.
void DigestTask::turnPeriod(Digest& digest, const std::map<Origin, Read>& parts) {
  std::vector<double> clocks{unixMs_()};
  for (const auto& [origin, read] : parts)
    if (read.ageMs < terms_.silentMs) clocks.push_back(read.part.unixMs + read.ageMs);
  const auto middle = clocks.begin() + static_cast<std::ptrdiff_t>((clocks.size() - 1) / 2);
  std::nth_element(clocks.begin(), middle, clocks.end());
  const double start = std::floor(*middle / terms_.periodMs) * terms_.periodMs;
  const auto period = static_cast<std::uint64_t>(std::max(1.0, start));
  if (period > digest.period) {
    digest.period = period;
    digest.budgets.clear();
  }
  digest.periodEndsMs = static_cast<double>(digest.period) + terms_.periodMs;
  for (const auto& [tenant, limit] : terms_.budgets) digest.budgets[tenant].limit = limit;
}

void DigestTask::settle(Digest& digest, const std::map<Origin, Read>& parts) {
  for (const auto& [origin, read] : parts) {
    if (!read.part.settled) continue;
    const Settled& said = *read.part.settled;
    const Origin before{origin.name, said.incarnation};
    const Folded* folded = digest.foldedOf(before);
    if (folded == nullptr) continue;
    if (said.period == folded->period && said.period == digest.period)
      for (const auto& [tenant, charged] : folded->charged) {
        const auto used = said.used.find(tenant);
        const auto line = digest.budgets.find(tenant);
        if (used != said.used.end() && line != digest.budgets.end())
          refund(line->second, charged, used->second);
      }
    ++happened_.refunded;
    std::erase_if(digest.folded, [&](const Folded& one) { return one.origin == before; });
  }
}

// Taking out a part needs no proof that its conductor is gone: what it may have spent is charged, and if it
// lives it finds its document gone and begins anew.
std::vector<Write> DigestTask::fold(Digest& digest, std::map<Origin, Read>& parts, double nowMs) {
  std::vector<Write> writes;
  for (auto it = parts.begin(); it != parts.end() && writes.size() < kMostFolds;) {
    const auto& [origin, read] = *it;
    const bool replaced = std::any_of(parts.begin(), parts.end(), [&, &self = *it](const auto& other) {
      return other.first.name == self.first.name && other.first.incarnation != self.first.incarnation &&
             other.second.ageMs < self.second.ageMs;
    });
    if (read.ageMs < (replaced ? std::min(terms_.replacedMs, terms_.goneMs) : terms_.goneMs)) {
      ++it;
      continue;
    }
    Folded folded{origin, read.part.word, read.part.period, {}};
    for (auto& [tenant, line] : digest.budgets) {
      const bool now = read.part.period == digest.period;
      const auto spend = read.part.spends.find(tenant);
      std::optional<Spend> last;
      // A part of an earlier period, or without a word on this budget, holds no ceiling in it.
      last = now && spend != read.part.spends.end() ? spend->second : Spend{};
      const std::uint64_t before = line.charged;
      if (terms_.guards.chargeCeiling || !last) charge(line, origin, last);
      else charge(line, origin, Spend{last->spent, 0, 0, 0, 0, 0});
      folded.charged[tenant] = line.charged - before;
    }
    addTo(digest.base, read.part.tallies);
    digest.folded.push_back(std::move(folded));
    writes.push_back({it->second.part.key(), read.revision, std::nullopt});
    ++happened_.folded;
    it = parts.erase(it);
  }
  if (digest.folded.size() > kMostFolded)
    digest.folded.erase(digest.folded.begin(),
                        digest.folded.end() - static_cast<std::ptrdiff_t>(kMostFolded));
  // Loans of which no part tells, as after a document was removed by hand.
  std::set<std::string> missing;
  for (auto& [tenant, line] : digest.budgets) {
    std::vector<Origin> lost;
    for (const auto& [origin, lent] : line.lent) {
      if (parts.count(origin) != 0) continue;
      Part part;
      part.origin = origin;
      const std::string mark = "lent " + part.key();
      missing.insert(mark);
      if (seen_.forMs(mark, 0, nowMs) >= terms_.goneMs) lost.push_back(origin);
    }
    for (const Origin& origin : lost) charge(line, origin, std::nullopt);
  }
  seen_.forget([&](const std::string& key) { return key.rfind("lent ", 0) == 0 && missing.count(key) == 0; });
  return writes;
}

void DigestTask::lendAll(Digest& digest, const std::map<Origin, Read>& parts, std::uint64_t fence,
                         double nowMs) {
  if (fence != fence_) {
    fence_ = fence;
    fenceSinceMs_ = nowMs;
  }
  // Who has just become the holder has not heard yet whether anybody knows of more than the store does.
  const double settleMs = kSettlePaces * terms_.paceMs(digest.heard.size());
  const bool mayLend = !terms_.guards.settleFirst ||
                       (nowMs - fenceSinceMs_ >= settleMs && digest.beat >= digest.lendsFromBeat);
  for (auto& [tenant, line] : digest.budgets) {
    std::map<Origin, Spend> words;
    for (const auto& [origin, read] : parts) {
      if (read.part.period != digest.period) continue;
      const auto spend = read.part.spends.find(tenant);
      if (spend == read.part.spends.end()) continue;
      words[origin] = spend->second;
      // Who has gone silent keeps what it has, and is lent nothing more.
      if (!mayLend || read.ageMs >= terms_.silentMs) words[origin].wants = 0;
    }
    lend(line, words);
    line.left = digest.beat >= digest.lendsFromBeat ? leftOf(line, words) : 0;
  }
}

void DigestTask::updateVerdicts(Digest& digest, const std::map<Origin, Read>& parts) {
  std::map<std::string, std::vector<HealthObservation>> heard;
  for (const auto& [origin, read] : parts) {
    if (read.ageMs >= terms_.silentMs) continue;
    std::map<std::string, HealthObservation> now;
    for (const auto& [box, observation] : read.part.observations)
      now[box] = decayed(observation, read.ageMs, terms_.observations);
    if (terms_.guards.credibleOnly && !isCredible(now, terms_.observations)) {
      ++happened_.incredible;
      continue;
    }
    for (const auto& [box, observation] : now) heard[box].push_back(observation);
  }
  for (const auto& [box, verdict] : digest.boxes) heard[box];
  std::map<std::string, HealthVerdict> boxes;
  for (const auto& [box, observations] : heard) {
    const auto before = digest.boxes.find(box);
    const HealthVerdict now = nextVerdict(before == digest.boxes.end() ? HealthVerdict{} : before->second,
                                          observations, digest.beat, terms_.observations, terms_.verdict);
    if (now.out || now.bad > 0) boxes[box] = now;
  }
  while (boxes.size() > kMaxInstances)  // those that nobody leaves out say least
    boxes.erase(std::min_element(boxes.begin(), boxes.end(), [](const auto& a, const auto& b) {
      return std::pair(a.second.out, a.second.bad) < std::pair(b.second.out, b.second.bad);
    }));
  digest.boxes = std::move(boxes);
}

void DigestTask::count(Digest& digest, const std::map<Origin, Read>& parts) {
  digest.total = digest.base;
  digest.heard.clear();
  for (const auto& [origin, read] : parts) {
    Tallies& known = known_[origin];
    if (!grew(read.part.tallies, known)) ++happened_.backwards;
    merge(known, read.part.tallies);
    addTo(digest.total, known);
    if (read.ageMs < terms_.silentMs) digest.heard[origin] = read.part.word;
  }
  // Bounded, whatever names were counted under.
  for (Tallies* tallies : {&digest.base, &digest.total})
    while (tallies->size() > kMostTallies) tallies->erase(std::prev(tallies->end()));
}

std::optional<Step> DigestTask::next(const View& view, std::uint64_t fence, double nowMs) {
  terms_ = read_();
  Digest digest;
  std::uint64_t revision = 0;
  if (const auto doc = view.docs.find(kDigestKey); doc != view.docs.end()) {
    const DigestRead read = digestOf(doc->second.value);
    // Of a later program, or damaged: what it knew of loans cannot be made up, so nothing is written over it.
    if (!read.digest) {
      note(kDigestKey, doc->second.revision, read.flaw);
      return std::nullopt;
    }
    digest = *read.digest;
    revision = doc->second.revision;
  }
  std::map<Origin, Read> parts = partsIn(view, nowMs);
  noticeRestored(digest, parts);
  lastBeat_ = std::max(lastBeat_, digest.beat);
  ++digest.beat;
  digest.fence = fence;
  turnPeriod(digest, parts);
  settle(digest, parts);
  std::vector<Write> writes = fold(digest, parts, nowMs);
  count(digest, parts);
  lendAll(digest, parts, fence, nowMs);
  updateVerdicts(digest, parts);
  std::string text = textOf(digest);
  // What is told to those that come back gives way, the older half first, and then what people read.
  while (text.size() > kLargestText && (!digest.folded.empty() || !digest.total.empty())) {
    if (digest.folded.empty()) digest.total.clear();
    const auto half = static_cast<std::ptrdiff_t>((digest.folded.size() + 1) / 2);
    digest.folded.erase(digest.folded.begin(), digest.folded.begin() + half);
    text = textOf(digest);
  }
  writes.insert(writes.begin(), Write{kDigestKey, revision, std::move(text)});
  return Step{"digest " + std::to_string(digest.beat), std::move(writes)};
}

}  // namespace dahliastall::shared
