// How a node asks the fleet's one discovery again after a call that failed, and when it takes a watch for
// broken. No I/O; times in milliseconds.
//
// What discovery has to tell counts as told 6 s after it had it and could be reached, whether or not it
// arrived, and whatever failed before. So the limits here add up to less in the worst order of events:
//
//   a watch falls silent as something changes:  kSilentMs + first pause + kDialMs + kFirstWordMs
//   a call hangs as discovery comes back:       (kDialMs + kFirstWordMs) + pause + (kDialMs + kFirstWordMs)
//   half a line, then nothing:                  as a silent watch, from the last byte on
//   at a new address (told 4 s later):          (kDialMs + kFirstWordMs) + first pause + (kDialMs +
//   kFirstWordMs)
//
// These are kWorstSilentMs, kWorstHungMs and kWorstMovedMs, with the longest pauses; tests play the orders. A
// watch that speaks sets the pauses back, so that one that falls silent is followed by the first.
//
// One node that asks ten times a second does no harm; a hundred that do keep a discovery down that could
// serve each of them once. So the pauses grow with each failure, up to what the sums allow, and are drawn, as
// nodes that lost the same discovery at the same moment would go on in step; with many nodes they begin
// longer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace dahliastall::fleet {

class Pace {
 public:
  static constexpr double kToldAfterMs = 6'000;  // and what of it stays free for a busy core
  static constexpr double kSpareMs = 300;
  static constexpr double kSilentMs = 2'600;     // an empty line is due every 2 s
  static constexpr double kDialMs = 500;         // for a connection to come up
  static constexpr double kFirstWordMs = 1'000;  // what is held is told at once when a watch opens
  static constexpr double kSpread = 0.5;         // of the mean, to either side
  static constexpr double kMostFirstMs = 460;    // the longest mean of a first pause,
  static constexpr double kMostMs = 1'800;       // and of any

  static constexpr double kCallMs = kDialMs + kFirstWordMs;
  static constexpr double kWorstSilentMs = kSilentMs + kMostFirstMs * (1 + kSpread) + kCallMs;
  static constexpr double kWorstHungMs = kCallMs + kMostMs * (1 + kSpread) + kCallMs;
  static constexpr double kWorstMovedMs = kCallMs + kMostFirstMs * (1 + kSpread) + kCallMs;
  static_assert(kWorstSilentMs <= kToldAfterMs - kSpareMs && kWorstHungMs <= kToldAfterMs - kSpareMs);
  static_assert(kWorstMovedMs <= 4'000 - kSpareMs);

  Pace(int nodes, std::uint64_t seed)
      : first_(std::clamp(nodes * kFirstPerNodeMs, kFirstMs, kMostFirstMs)), mean_(first_), random_(seed) {}

  // The pause before the next try, which follows a failure.
  double pauseMs() {
    const double pause = mean_ * std::uniform_real_distribution<>(1 - kSpread, 1 + kSpread)(random_);
    mean_ = std::min(kMostMs, mean_ * 2);
    return pause;
  }
  void wentWell() { mean_ = first_; }

 private:
  // The second try comes soon however many nodes there are: after a move of discovery 4 s are all there is.
  static constexpr double kFirstMs = 100, kFirstPerNodeMs = 5;

  double first_, mean_;
  std::mt19937_64 random_;
};

}  // namespace dahliastall::fleet
