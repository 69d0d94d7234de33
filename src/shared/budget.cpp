#include "shared/budget.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace dahliastall::shared {

namespace {

constexpr double kKeepTimes = 2;  // of what is wanted; a conductor returns what it was lent beyond that

std::uint64_t rounded(double tokens) { return static_cast<std::uint64_t>(std::max(0.0, std::ceil(tokens))); }

std::uint64_t less(std::uint64_t from, std::uint64_t what) { return from > what ? from - what : 0; }

}  // namespace

const char* nameOf(Denial why) {
  constexpr std::array<const char*, 5> kNames{"none", "used_up", "no_loan", "lapsed", "too_large"};
  return kNames[static_cast<std::size_t>(why)];
}

// ---- The conductor's side --------------------------------------------------------------------------------

void Purse::budgets(const std::map<std::string, std::uint64_t>& limits) {
  std::erase_if(tenants_, [&](const auto& entry) { return limits.count(entry.first) == 0; });
  for (const auto& [tenant, limit] : limits) tenants_[tenant].limit = limit;
}

double Purse::flowAt(const One& one, double nowMs) const {
  return one.flow * std::exp(-std::max(0.0, nowMs - one.flowMs) / terms_.rateMs);
}

void Purse::demand(One& one, std::uint64_t tokens, double nowMs) {
  one.flow = flowAt(one, nowMs) + static_cast<double>(tokens);
  one.flowMs = nowMs;
  if (tokens >= one.largest || nowMs - one.largestMs > terms_.aheadMs) {
    one.largest = tokens;
    one.largestMs = nowMs;
  }
}

Purse::Answer Purse::reserve(const std::string& tenant, std::uint64_t tokens, double nowMs) {
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end()) return {};
  One& one = it->second;
  if (tokens > one.limit) return {Denial::kTooLarge, {}};
  // What is refused counts as wanted as well: it is what a loan is asked for by.
  demand(one, tokens, nowMs);
  Denial why = Denial::kNone;
  if (lapsed(nowMs)) why = Denial::kLapsed;
  else if (one.used() + tokens > (terms_.ceilingFirst ? one.allowed : one.out()))
    why = one.used() + tokens > one.out() && one.left == 0 ? Denial::kUsedUp : Denial::kNoLoan;
  if (why != Denial::kNone) {
    one.denied = true;
    return {why, {}};
  }
  one.word.reserved += tokens;
  return {Denial::kNone, {tenant, tokens, term_}};
}

void Purse::settle(const Reservation& reservation, std::uint64_t spent, double) {
  const auto it = tenants_.find(reservation.tenant);
  if (it == tenants_.end() || reservation.term != term_) return;
  Spend& word = it->second.word;
  word.reserved = less(word.reserved, reservation.tokens);
  word.spent += spent;
}

void Purse::told(std::uint64_t period, const std::map<std::string, Told>& lent) {
  if (period < period_) return;
  if (period > period_) {
    period_ = period;
    ++term_;
    for (auto& [tenant, one] : tenants_) {
      one.word = {};
      one.allowed = one.left = 0;
    }
  }
  for (auto& [tenant, one] : tenants_) {
    const auto it = lent.find(tenant);
    if (it == lent.end()) continue;
    one.word.lentSeen = std::max(one.word.lentSeen, it->second.lent);
    one.left = it->second.left;
  }
}

std::map<std::string, Spend> Purse::say(double nowMs, bool leaving) {
  std::map<std::string, Spend> words;
  for (auto& [tenant, one] : tenants_) {
    const double rate = leaving ? 0 : flowAt(one, nowMs) / terms_.rateMs;  // tokens a millisecond
    const std::uint64_t largest = !leaving && nowMs - one.largestMs <= terms_.aheadMs ? one.largest : 0;
    const std::uint64_t ahead = rounded(rate * terms_.aheadMs) + largest;
    one.word.wants = one.used() + ahead;
    // What lies idle goes back: it may be wanted elsewhere.
    const std::uint64_t keep = one.used() + rounded(static_cast<double>(ahead) * kKeepTimes);
    if (one.out() > keep) one.word.returned += one.out() - keep;
    one.word.ceiling =
        std::max(one.used(), std::min(one.out(), one.used() + rounded(rate * terms_.sliceMs) + largest));
    // A lower ceiling holds from now on, a higher one once it was taken.
    if (terms_.returnsKept) one.allowed = std::min(one.allowed, one.word.ceiling);
    one.denied = false;
    words[tenant] = one.word;
  }
  return words;
}

void Purse::taken(std::uint64_t period, const std::map<std::string, Spend>& word, double begunMs) {
  takenMs_ = std::max(takenMs_.value_or(begunMs), begunMs);
  if (period != period_) return;
  for (const auto& [tenant, said] : word) {
    const auto it = tenants_.find(tenant);
    if (it == tenants_.end()) continue;
    One& one = it->second;
    one.allowed =
        terms_.returnsKept ? std::min(said.ceiling, one.out()) : std::max(said.ceiling, one.allowed);
  }
}

std::map<std::string, std::uint64_t> Purse::foldedAway() {
  std::map<std::string, std::uint64_t> used;
  ++term_;
  for (auto& [tenant, one] : tenants_) {
    used[tenant] = one.used();
    one.word = {};
    one.allowed = 0;
  }
  return used;
}

bool Purse::wanting() const {
  return std::any_of(tenants_.begin(), tenants_.end(), [](const auto& entry) { return entry.second.denied; });
}

std::map<std::string, Purse::Seen> Purse::seen() const {
  std::map<std::string, Seen> all;
  for (const auto& [tenant, one] : tenants_)
    all[tenant] = {one.word.spent,    one.word.reserved, one.allowed,
                   one.word.lentSeen, one.word.returned, one.left};
  return all;
}

// ---- The lender's side -----------------------------------------------------------------------------------

namespace {

const Spend* wordOf(const std::map<Origin, Spend>& words, const Origin& who) {
  const auto it = words.find(who);
  return it == words.end() ? nullptr : &it->second;
}

// What may still be spent, or was: all that was lent and not returned, and no less than its own word says.
std::uint64_t outOf(std::uint64_t lent, const Spend* word) {
  if (word == nullptr) return lent;
  return std::max(
      {less(std::max(lent, word->lentSeen), word->returned), word->ceiling, word->spent + word->reserved});
}

}  // namespace

std::uint64_t outOf(const BudgetLine& line, const std::map<Origin, Spend>& words) {
  std::uint64_t sum = 0;
  for (const auto& [who, lent] : line.lent) sum += outOf(lent, wordOf(words, who));
  for (const auto& [who, word] : words)
    if (line.lent.count(who) == 0) sum += outOf(0, &word);
  return sum;
}

std::uint64_t leftOf(const BudgetLine& line, const std::map<Origin, Spend>& words) {
  return less(line.limit, line.charged + outOf(line, words));
}

void lend(BudgetLine& line, const std::map<Origin, Spend>& words) {
  // Nothing that a conductor knows to have been lent is forgotten, whatever the store has come back to.
  for (const auto& [who, word] : words)
    if (word.lentSeen > 0) line.lent[who] = std::max(line.lent[who], word.lentSeen);
  std::uint64_t left = leftOf(line, words);
  // Who has least first, and each as much as it wants: a part of what one answer may need would be of no use.
  std::vector<std::tuple<std::uint64_t, std::uint64_t, Origin>> wishes;
  for (const auto& [who, word] : words) {
    const auto lent = line.lent.find(who);
    const std::uint64_t has = outOf(lent == line.lent.end() ? 0 : lent->second, &word);
    if (word.wants > has) wishes.emplace_back(less(has, word.spent), word.wants - has, who);
  }
  std::sort(wishes.begin(), wishes.end());
  for (const auto& [idle, wish, who] : wishes) {
    const std::uint64_t part = std::min(wish, left);
    if (part > 0) line.lent[who] += part;
    left -= part;
  }
}

void charge(BudgetLine& line, const Origin& gone, const std::optional<Spend>& lastWord) {
  const auto lent = line.lent.find(gone);
  const std::uint64_t most = lent == line.lent.end() ? 0 : lent->second;
  // Without a word nothing is known but that it had no more than it was lent.
  line.charged += lastWord ? std::max(lastWord->ceiling, lastWord->spent + lastWord->reserved) : most;
  if (lent != line.lent.end()) line.lent.erase(lent);
}

void refund(BudgetLine& line, std::uint64_t charged, std::uint64_t used) {
  line.charged = less(line.charged + used, charged);
}

}  // namespace dahliastall::shared
