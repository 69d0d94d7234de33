#include "shared/hearing.h"

#include <algorithm>
#include <array>
#include <random>

namespace dahliastall::shared {

const char* nameOf(Degree degree) {
  constexpr std::array<const char*, 4> kNames{"connected", "late", "alone", "returning"};
  return kNames[static_cast<std::size_t>(degree)];
}

Hearing::Hearing(HearingTerms terms, std::uint64_t seed, double nowMs)
    : terms_(terms), sinceMs_(nowMs), digestMs_(nowMs), spokeMs_(nowMs) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<> draw(1, 1 + terms.spread);
  lateMs_ = terms.lateMs * draw(random);
  aloneMs_ = std::max(lateMs_, terms.aloneMs * draw(random));
}

double Hearing::silenceMs(double nowMs) const { return nowMs - std::min(digestMs_, spokeMs_); }

void Hearing::become(Degree degree, double nowMs) {
  if (degree == degree_) return;
  degree_ = degree;
  sinceMs_ = nowMs;
  if (degree == Degree::kReturning) spokenBefore_ = spoken_;
}

// A conductor that was away is heard again once a digest rests on a word that it has written since.
void Hearing::digest(std::uint64_t wordsHeard, double nowMs) {
  digestMs_ = nowMs;
  heard_ = std::max(heard_, wordsHeard);
  tick(nowMs);
  if (degree_ == Degree::kReturning && heard_ > spokenBefore_) become(Degree::kConnected, nowMs);
}

void Hearing::spoke(std::uint64_t word, double nowMs) {
  spokeMs_ = nowMs;
  spoken_ = std::max(spoken_, word);
  tick(nowMs);
}

void Hearing::tick(double nowMs) {
  const double silence = silenceMs(nowMs);
  if (silence >= aloneMs_) return become(Degree::kAlone, nowMs);
  // Both ways have to be open: who reads and cannot write is as unknown to the others as who does neither.
  if (degree_ == Degree::kAlone && silence < aloneMs_ / 2) become(Degree::kReturning, nowMs);
  if (degree_ == Degree::kConnected && silence >= lateMs_) return become(Degree::kLate, nowMs);
  // Left at half of what it was entered at.
  if (degree_ == Degree::kLate && silence < lateMs_ / 2) become(Degree::kConnected, nowMs);
}

}  // namespace dahliastall::shared
