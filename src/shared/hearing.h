// How well a conductor hears of the others: connected, late, alone, returning. What it does with shared state
// hangs on this. Entered and left with a margin between, and at moments that are drawn for each conductor, so
// that a fleet that is cut off does not change its ways in one instant. No I/O.
#pragma once

#include <cstdint>
#include <string>

namespace dahliastall::shared {

enum class Degree : std::uint8_t { kConnected, kLate, kAlone, kReturning };
const char* nameOf(Degree degree);

struct HearingTerms {
  double lateMs = 3'000;    // without a new digest, or without a word of one's own taken: late
  double aloneMs = 10'000;  // alone
  double spread = 0.2;      // of either, drawn once for each conductor and added
};

class Hearing {
 public:
  Hearing(HearingTerms terms, std::uint64_t seed, double nowMs);

  // A digest that is newer than the last, and how many words of this conductor it rests on.
  void digest(std::uint64_t wordsHeard, double nowMs);
  // A word of its own was taken by the store.
  void spoke(std::uint64_t word, double nowMs);
  void tick(double nowMs);

  Degree degree() const { return degree_; }
  double sinceMs() const { return sinceMs_; }
  // For how long it has heard nothing: the older of the last digest and of the last word taken.
  double silenceMs(double nowMs) const;

 private:
  void become(Degree degree, double nowMs);

  HearingTerms terms_;
  double lateMs_, aloneMs_;
  Degree degree_ = Degree::kReturning;
  double sinceMs_, digestMs_, spokeMs_;
  std::uint64_t spoken_ = 0, heard_ = 0;
  std::uint64_t spokenBefore_ = 0;  // words up to the moment at which it began to return
};

}  // namespace dahliastall::shared
