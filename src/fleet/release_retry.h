// When to ask whom to let go of what is held for a request: asked too late, or only of instances that cannot
// be heard, it stays held beyond its time. Any instance passes a release on to all, so that one that hears is
// enough. No I/O; times in milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>

namespace dahliastall::fleet {

// One request's release, in rounds: each is asked of one instance, then of twice as many more each time that
// nobody has answered. An attempt's close, a call for a place and the release travel on different
// connections: a read may still end well, and a place may still be taken, after a round has passed. So there
// are two rounds at least, and more for as long as a place that was asked for is neither held nor refused:
// what comes to be held waits for one round's time at the most, whatever becomes of an answer.
class ReleaseRetry {
 public:
  static constexpr double kWaveMs = 40;  // without an answer before more are asked
  static constexpr std::size_t kMostOut = 16;
  static constexpr double kGiveUpMs = 5'000;  // what is held longer has broken its limit long ago
  static constexpr int kRounds = 2;

  // Between two rounds half of the time passes in which what is held has to be let go of.
  ReleaseRetry(double nowMs, double withinMs) : beganMs_(nowMs), waveMs_(nowMs), settleMs_(withinMs / 2) {}

  // How many instances more to ask now, if so many calls of this release have no answer yet.
  std::size_t due(double nowMs, std::size_t out) {
    if (over(nowMs) || settling() || nowMs < waveMs_) return 0;
    const std::size_t wanted = std::min(wave_, kMostOut - std::min(out, kMostOut));
    wave_ = std::min(wave_ * 2, kMostOut);
    waveMs_ = nowMs + kWaveMs;
    return wanted;
  }

  // An instance has taken it; open: more may yet come to be held.
  void taken(double nowMs, bool open) {
    if (settling() || done()) return;
    ++taken_;
    rounds_ = std::max(rounds_ - 1, open ? 1 : 0);
    if (rounds_ > 0) wait(nowMs + settleMs_);
  }
  // Begins the next round if its time has come.
  void go(double nowMs) {
    if (!settling() || nowMs < nextMs()) return;
    settling_ = false;
    wave_ = 1;
    beganMs_ = waveMs_ = nowMs;
  }
  // What was open has been decided: a round that is under way may have been too early, and one that was only
  // put off for its sake begins.
  void closed(double nowMs) {
    if (!settling()) rounds_ = std::max(rounds_, 2);
    else if (taken_ >= kRounds) wait(nowMs);
  }
  // No round begins before this time; the first one need not begin at once.
  void wait(double untilMs) {
    settling_ = true;
    settledMs_ = untilMs;
  }
  // The last one that was asked cannot be heard: the next are asked without waiting.
  void failed(double nowMs) { waveMs_ = nowMs; }
  // Something may have come to be held since it began.
  void restart(double nowMs) { *this = ReleaseRetry(nowMs, settleMs_ * 2); }

  bool settling() const { return settling_; }
  bool over(double nowMs) const { return done() || (!settling() && nowMs - beganMs_ >= kGiveUpMs); }
  bool done() const { return rounds_ == 0; }
  double nextMs() const { return settling_ ? settledMs_ : waveMs_; }

 private:
  double beganMs_, waveMs_, settleMs_, settledMs_ = 0;
  bool settling_ = false;
  std::size_t wave_ = 1;
  int rounds_ = kRounds, taken_ = 0;  // to be taken yet, and so far
};

}  // namespace dahliastall::fleet
