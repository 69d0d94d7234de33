// When to retry the release of what instances hold for a request, and how many instances to ask. An
// instance forwards a release to all others, so one that can be reached is enough. No I/O; times in
// milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>

namespace inference_router::upstream {

// The release of one request, in rounds. A round asks one instance, then doubles the number with
// each wave until one answers. The close of an attempt, a reservation and the release travel on
// different connections, so a prefill may still end, or a reservation be granted, after a round.
// Hence there are at least two rounds, and more while a reservation is neither granted nor refused.
class ReleaseRetry {
 public:
  static constexpr double kWaveMs = 40;        // without an answer until the next wave
  static constexpr std::size_t kMostOut = 16;  // calls in flight
  static constexpr double kGiveUpMs = 5'000;   // per round
  static constexpr int kRounds = 2;

  // withinMs: the time within which everything has to be released; half of it passes between two
  // rounds.
  ReleaseRetry(double nowMs, double withinMs)
      : beganMs_(nowMs), waveMs_(nowMs), settleMs_(withinMs / 2) {}

  // How many more instances to ask now; out: calls of this release in flight.
  std::size_t due(double nowMs, std::size_t out) {
    if (over(nowMs) || settling() || nowMs < waveMs_)
      return 0;
    const std::size_t wanted = std::min(wave_, kMostOut - std::min(out, kMostOut));
    wave_ = std::min(wave_ * 2, kMostOut);
    waveMs_ = nowMs + kWaveMs;
    return wanted;
  }

  // An instance accepted the release; open: a reservation is still undecided.
  void taken(double nowMs, bool open) {
    if (settling() || done())
      return;
    ++taken_;
    rounds_ = std::max(rounds_ - 1, open ? 1 : 0);
    if (rounds_ > 0)
      wait(nowMs + settleMs_);
  }
  // Begins the next round if it is due.
  void go(double nowMs) {
    if (!settling() || nowMs < nextMs())
      return;
    settling_ = false;
    wave_ = 1;
    beganMs_ = waveMs_ = nowMs;
  }
  // The undecided reservation was decided: the current round may have been too early, so another
  // one follows; a round that was delayed only for the reservation begins now.
  void closed(double nowMs) {
    if (!settling())
      rounds_ = std::max(rounds_, 2);
    else if (taken_ >= kRounds)
      wait(nowMs);
  }
  // Delays the next round until this time.
  void wait(double untilMs) {
    settling_ = true;
    settledMs_ = untilMs;
  }
  // The instance that was asked last cannot be reached: the next wave begins at once.
  void failed(double nowMs) { waveMs_ = nowMs; }
  // Begins again, as an instance may hold something new.
  void restart(double nowMs) { *this = ReleaseRetry(nowMs, settleMs_ * 2); }

  bool settling() const { return settling_; }
  bool over(double nowMs) const { return done() || (!settling() && nowMs - beganMs_ >= kGiveUpMs); }
  bool done() const { return rounds_ == 0; }
  double nextMs() const { return settling_ ? settledMs_ : waveMs_; }

 private:
  double beganMs_, waveMs_, settleMs_, settledMs_ = 0;
  bool settling_ = false;
  std::size_t wave_ = 1;
  int rounds_ = kRounds, taken_ = 0;  // rounds that remain, and rounds accepted
};

}  // namespace inference_router::upstream
