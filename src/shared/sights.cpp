#include "shared/sights.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace dahliastall::shared {

namespace {

constexpr double kNothing = 0.05;     // evidence below this is none
constexpr double kTurn = 0.5;         // of what was seen before is left when the next answer says otherwise
constexpr std::size_t kFewKnown = 2;  // bad boxes from which on a witness may be the one that is ill

double fading(double byMs, const SightTerms& terms) { return std::exp2(-std::max(0.0, byMs) / terms.halfMs); }

}  // namespace

const char* nameOf(Trouble trouble) {
  constexpr std::array<const char*, 5> kNames{"none", "refused", "silent", "failing", "slow"};
  return kNames[static_cast<std::size_t>(trouble)];
}

Sights::One& Sights::faded(const std::string& box, double nowMs) {
  One& one = all_.try_emplace(box).first->second;
  const double left = fading(nowMs - one.atMs, terms_);
  one.good *= left;
  one.bad *= left;
  one.atMs = nowMs;
  return one;
}

void Sights::good(const std::string& box, double nowMs) {
  if (all_.count(box) == 0 && all_.size() >= kMostBoxes) return;
  One& one = faded(box, nowMs);
  one.good += 1;
  one.bad *= kTurn;
  one.goodMs = nowMs;
}

void Sights::bad(const std::string& box, Trouble trouble, double nowMs) {
  if (all_.count(box) == 0 && all_.size() >= kMostBoxes) return;
  One& one = faded(box, nowMs);
  one.bad += 1;
  one.good *= kTurn;
  one.badMs = nowMs;
  one.trouble = trouble;
}

void Sights::tidy(const std::set<std::string>& listed, double nowMs) {
  std::erase_if(all_, [&](const auto& entry) {
    const double left = fading(nowMs - entry.second.atMs, terms_);
    return listed.count(entry.first) == 0 || (entry.second.good + entry.second.bad) * left < kNothing;
  });
}

std::map<std::string, Sight> Sights::said(double nowMs) const {
  std::map<std::string, Sight> all;
  for (const auto& [box, one] : all_) {
    const double left = fading(nowMs - one.atMs, terms_);
    const Sight sight{one.good * left, one.bad * left, one.badMs < 0 ? 0 : nowMs - one.badMs,
                      one.goodMs < 0 ? 0 : nowMs - one.goodMs, one.trouble};
    if (sight.good + sight.bad >= kNothing) all[box] = sight;
  }
  return all;
}

bool Sights::recentlyHealthy(const std::string& box, double nowMs) const {
  const auto it = all_.find(box);
  return it != all_.end() && it->second.goodMs >= 0 && nowMs - it->second.goodMs <= terms_.freshMs &&
         it->second.goodMs > it->second.badMs;
}

void keepMostTelling(std::map<std::string, Sight>& sights, std::size_t most) {
  if (sights.size() <= most) return;
  std::vector<std::tuple<double, double, std::string>> least;
  for (const auto& [box, sight] : sights) least.emplace_back(sight.bad, sight.good, box);
  const auto end = least.begin() + static_cast<std::ptrdiff_t>(least.size() - most);
  std::nth_element(least.begin(), end, least.end());
  for (auto it = least.begin(); it != end; ++it) sights.erase(std::get<std::string>(*it));
}

Sight aged(const Sight& sight, double byMs, const SightTerms& terms) {
  Sight now = sight;
  now.good *= fading(byMs, terms);
  now.bad *= fading(byMs, terms);
  now.badAgeMs += std::max(0.0, byMs);
  now.goodAgeMs += std::max(0.0, byMs);
  return now;
}

Word wordOf(const Sight& sight, const SightTerms& terms) {
  if (sight.bad >= terms.badFrom && sight.bad >= sight.good) return Word::kBad;
  // What answered after it had failed is good from the first answer on.
  if (sight.good >= 0.5 && (sight.bad < kNothing || sight.goodAgeMs < sight.badAgeMs)) return Word::kGood;
  return Word::kNothing;
}

bool credible(const std::map<std::string, Sight>& sights, const SightTerms& terms) {
  std::size_t bad = 0, known = 0;
  for (const auto& [box, sight] : sights) {
    const Word word = wordOf(sight, terms);
    known += word != Word::kNothing;
    bad += word == Word::kBad;
  }
  return bad < kFewKnown || static_cast<double>(bad) <= terms.mostBad * static_cast<double>(known);
}

Judged judge(const Judged& before, const std::vector<Sight>& heard, std::uint64_t beat,
             const SightTerms& sights, const JudgeTerms& terms) {
  Judged now = before;
  now.bad = now.good = 0;
  now.evidence = 0;
  std::vector<double> badAges;
  double lastBad =
      HUGE_VAL;  // also of what does not weigh enough to be a word, as a single trial that failed
  for (const Sight& sight : heard) {
    if (sight.bad >= kNothing) lastBad = std::min(lastBad, sight.badAgeMs);
    if (wordOf(sight, sights) != Word::kBad) continue;
    ++now.bad;
    now.evidence += sight.bad;
    now.trouble = sight.trouble;
    badAges.push_back(sight.badAgeMs);
  }
  std::sort(badAges.begin(), badAges.end());
  // A good answer from before the trouble says nothing of it: what counts is later than the bad ones that it
  // takes, and than all of them once the box is out, as a trial is.
  const std::size_t needed = std::max<std::uint32_t>(1, terms.witnesses);
  const double since = before.out ? lastBad : badAges.size() < needed ? HUGE_VAL : badAges[needed - 1];
  for (const Sight& sight : heard)
    now.good += wordOf(sight, sights) == Word::kGood && sight.goodAgeMs < since;
  if (!before.out) {
    now.out = now.bad >= terms.witnesses && now.bad > now.good;
    if (now.out) now.sinceBeat = beat;
    return now;
  }
  now.out = lastBad < terms.fadesMs && now.good == 0;
  return now;
}

}  // namespace dahliastall::shared
