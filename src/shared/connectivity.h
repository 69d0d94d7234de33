// How well a conductor hears of the others: connected, late, alone, returning. What it does with shared state
// hangs on this. Entered and left with a margin between, and at moments that are drawn for each conductor, so
// that a fleet that is cut off does not change its ways in one instant. No I/O.
#pragma once

#include <cstdint>
#include <string>

namespace dahliastall::shared {

enum class ConnectivityState : std::uint8_t { kConnected, kDelayed, kIsolated, kRejoining };
const char* nameOf(ConnectivityState state);

struct ConnectivityConfig {
  double delayedMs = 3'000;    // without a new digest, or without a word of one's own taken: late
  double isolatedMs = 10'000;  // alone
  double jitterShare = 0.2;    // of either, drawn once for each conductor and added
};

class Connectivity {
 public:
  Connectivity(ConnectivityConfig config, std::uint64_t seed, double nowMs);

  // A digest that is newer than the last, and how many words of this conductor it rests on.
  void onDigest(std::uint64_t acknowledged, double nowMs);
  // A word of its own was taken by the store.
  void onReportAccepted(std::uint64_t reportSequence, double nowMs);
  void tick(double nowMs);

  ConnectivityState state() const { return state_; }
  double sinceMs() const { return sinceMs_; }
  // For how long it has heard nothing: the older of the last digest and of the last word taken.
  double silenceMs(double nowMs) const;

 private:
  void enter(ConnectivityState state, double nowMs);

  ConnectivityConfig config_;
  double delayedMs_, isolatedMs_;
  ConnectivityState state_ = ConnectivityState::kRejoining;
  double sinceMs_, digestMs_, reportMs_;
  std::uint64_t reportSequence_ = 0, acknowledged_ = 0;
  std::uint64_t rejoinSequence_ = 0;  // words up to the moment at which it began to return
};

}  // namespace dahliastall::shared
