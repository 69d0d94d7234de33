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

class DiscoveryBackoff {
 public:
  static constexpr double kDeliveryLimitMs = 6'000;  // and what of it stays free for a busy core
  static constexpr double kMarginMs = 300;
  static constexpr double kWatchTimeoutMs = 2'600;      // an empty line is due every 2 s
  static constexpr double kConnectTimeoutMs = 500;      // for a connection to come up
  static constexpr double kFirstByteTimeoutMs = 1'000;  // what is held is told at once when a watch opens
  static constexpr double kJitterShare = 0.5;           // of the mean, to either side
  static constexpr double kMaxInitialMs = 460;          // the longest mean of a first pause,
  static constexpr double kMaxMs = 1'800;               // and of any

  static constexpr double kCallTimeoutMs = kConnectTimeoutMs + kFirstByteTimeoutMs;
  static constexpr double kWorstSilentWatchMs =
      kWatchTimeoutMs + kMaxInitialMs * (1 + kJitterShare) + kCallTimeoutMs;
  static constexpr double kWorstHungCallMs = kCallTimeoutMs + kMaxMs * (1 + kJitterShare) + kCallTimeoutMs;
  static constexpr double kWorstMoveMs = kCallTimeoutMs + kMaxInitialMs * (1 + kJitterShare) + kCallTimeoutMs;
  static_assert(kWorstSilentWatchMs <= kDeliveryLimitMs - kMarginMs &&
                kWorstHungCallMs <= kDeliveryLimitMs - kMarginMs);
  static_assert(kWorstMoveMs <= 4'000 - kMarginMs);

  DiscoveryBackoff(int nodes, std::uint64_t seed)
      : initialMs_(std::clamp(nodes * kInitialPerNodeMs, kInitialMs, kMaxInitialMs)),
        meanMs_(initialMs_),
        random_(seed) {}

  // The pause before the next try, which follows a failure.
  double nextDelayMs() {
    const double pause =
        meanMs_ * std::uniform_real_distribution<>(1 - kJitterShare, 1 + kJitterShare)(random_);
    meanMs_ = std::min(kMaxMs, meanMs_ * 2);
    return pause;
  }
  void reset() { meanMs_ = initialMs_; }

 private:
  // The second try comes soon however many nodes there are: after a move of discovery 4 s are all there is.
  static constexpr double kInitialMs = 100, kInitialPerNodeMs = 5;

  double initialMs_, meanMs_;
  std::mt19937_64 random_;
};

}  // namespace dahliastall::fleet
