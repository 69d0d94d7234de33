/// Decides when to retry the release of a request and how many instances to call. An instance
/// forwards a release to all others, so one reachable instance is enough. No I/O; times in
/// milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>

namespace inference_router::upstream {

/// The release of one request, in rounds. A round calls one instance, then twice as many with each
/// wave until one accepts. The close of an attempt, a reservation and the release travel on
/// different connections, so a prefill may still end, or a reservation be granted, after a round.
/// Hence there are at least two rounds, and more while a reservation is neither granted nor
/// refused.
class ReleaseRetry {
 public:
  static constexpr double kWaveIntervalMs = 40;    ///< without an answer until the next wave
  static constexpr std::size_t kMaxInFlight = 16;  ///< calls per release
  static constexpr double kGiveUpMs = 5'000;       ///< per round
  static constexpr int kMinRounds = 2;

  /// releaseLimitMs is the time within which everything has to be released; half of it passes
  /// between two rounds.
  ReleaseRetry(double nowMs, double releaseLimitMs)
      : roundBeganMs_(nowMs), nextWaveMs_(nowMs), roundIntervalMs_(releaseLimitMs / 2) {}

  /// Returns how many more instances to call now. Begins a wave if that is above 0.
  std::size_t due(double nowMs, std::size_t inFlight) {
    if (over(nowMs) || betweenRounds() || nowMs < nextWaveMs_)
      return 0;
    const std::size_t wanted = std::min(waveSize_, kMaxInFlight - std::min(inFlight, kMaxInFlight));
    waveSize_ = std::min(waveSize_ * 2, kMaxInFlight);
    nextWaveMs_ = nowMs + kWaveIntervalMs;
    return wanted;
  }

  /// An instance accepted the release, which ends the round. reservationOpen means that a
  /// reservation is neither granted nor refused yet.
  void accepted(double nowMs, bool reservationOpen) {
    if (betweenRounds() || complete())
      return;
    ++roundsAccepted_;
    roundsLeft_ = std::max(roundsLeft_ - 1, reservationOpen ? 1 : 0);
    if (roundsLeft_ > 0)
      delayRoundUntil(nowMs + roundIntervalMs_);
  }
  /// Begins the next round if it is due.
  void beginRound(double nowMs) {
    if (!betweenRounds() || nowMs < nextMs())
      return;
    betweenRounds_ = false;
    waveSize_ = 1;
    roundBeganMs_ = nextWaveMs_ = nowMs;
  }
  /// The open reservation was granted or refused. The current round may have been too early, so
  /// another one follows; a round that was delayed only for the reservation begins now.
  void reservationSettled(double nowMs) {
    if (!betweenRounds())
      roundsLeft_ = std::max(roundsLeft_, 2);
    else if (roundsAccepted_ >= kMinRounds)
      delayRoundUntil(nowMs);
  }
  /// Ends the current round and delays the next one until this time.
  void delayRoundUntil(double untilMs) {
    betweenRounds_ = true;
    nextRoundMs_ = untilMs;
  }
  /// The instance that was called last is unreachable: the next wave begins at once.
  void callFailed(double nowMs) { nextWaveMs_ = nowMs; }
  /// Starts again with the first round, as an instance may hold something new.
  void restart(double nowMs) { *this = ReleaseRetry(nowMs, roundIntervalMs_ * 2); }

  bool betweenRounds() const { return betweenRounds_; }
  /// Whether the release is complete or was given up.
  bool over(double nowMs) const {
    return complete() || (!betweenRounds() && nowMs - roundBeganMs_ >= kGiveUpMs);
  }
  /// Whether all rounds were accepted.
  bool complete() const { return roundsLeft_ == 0; }
  /// When the next wave or round is due.
  double nextMs() const { return betweenRounds_ ? nextRoundMs_ : nextWaveMs_; }

 private:
  double roundBeganMs_;
  double nextWaveMs_;
  double roundIntervalMs_;
  double nextRoundMs_ = 0;
  bool betweenRounds_ = false;
  std::size_t waveSize_ = 1;
  int roundsLeft_ = kMinRounds;
  int roundsAccepted_ = 0;
};

}  // namespace inference_router::upstream
