// How fast a node asks the fleet's one discovery again after a call that failed. One node that asks ten times
// a second does no harm; a hundred that do keep a discovery down that could serve each of them once. So the
// pauses grow with each failure and with the number of nodes, and are drawn, as nodes that lost the same
// discovery at the same moment would go on in step. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace dahliastall::fleet {

class Pace {
 public:
  Pace(int nodes, std::uint64_t seed)
      : first_(std::max(kFirstMs, nodes * kFirstPerNodeMs)),
        most_(std::clamp(nodes * kMostPerNodeMs, kLeastMostMs, kMostMs)),
        mean_(first_),
        random_(seed) {}

  // The pause before the next try, which follows a failure.
  double pauseMs() {
    const double pause = mean_ * std::uniform_real_distribution<>(1 - kSpread, 1 + kSpread)(random_);
    mean_ = std::min(most_, mean_ * 2);
    return pause;
  }
  // How long an answer may take: what waits in a line is not helped by calling again and standing last.
  double answerMs(double leastMs) const { return std::max(leastMs, mean_); }
  void wentWell() { mean_ = first_; }

 private:
  static constexpr double kFirstMs = 100;
  // All nodes together ask some hundred times in the first second after a loss, and ten times a second as
  // long as it lasts. What discovery bears is told nowhere: it serves each node's start, so some rounds of
  // all nodes within seconds are taken for harmless.
  static constexpr double kFirstPerNodeMs = 10, kMostPerNodeMs = 100;
  // What a list tells counts as told some seconds after it was there: a few nodes keep well within that, and
  // however many there are, none stays ignorant much longer than a list may grow old where it is asked for.
  static constexpr double kLeastMostMs = 500, kMostMs = 10'000;
  static constexpr double kSpread = 0.5;

  double first_, most_, mean_;
  std::mt19937_64 random_;
};

}  // namespace dahliastall::fleet
