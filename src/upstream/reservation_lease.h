/// The reservation that a decode instance holds for a request whose prefill is in flight, treated
/// as a lease that expires unless it is renewed. No I/O; times in milliseconds.
#pragma once

#include <optional>

namespace inference_router::upstream {

/// A granted reservation means that its instance holds capacity. It proves nothing about the
/// prefill: its bytes may never be read, or its answer may be lost, and a reservation without an
/// attempt in flight has to be released in time. So a grant is valid for a limited time from its
/// request on, and is renewed before that time ends: the answer shows whether the instance knows of
/// the prefill. If the renewal is refused, unknown or unanswered, the reservation is released.
class ReservationLease {
 public:
  /// The instance's answer to a reservation call; kNone: no answer in time.
  enum class Answer { kGranted, kRefused, kUnknown, kNone };
  /// The step to perform now.
  enum class Step { kNone, kRenew, kRelease };

  /// The protocol allows 300 ms beyond the release limit of the settings. A renewal is sent late in
  /// that period, as each one costs its instance work and most prefills end before it is due.
  static constexpr double kRenewalDelayMs = 200;
  /// A grant is answered at once, an unknown prefill after 300 ms.
  static constexpr double kRenewalAnswerMs = 80;

  /// releaseLimitMs is the time within which state that belongs to no attempt in flight has to be
  /// released.
  explicit ReservationLease(double releaseLimitMs) : releaseLimitMs_(releaseLimitMs) {}

  /// A reservation call was written, the first one or a renewal.
  void requested(double nowMs) {
    renewMs_ = nowMs + releaseLimitMs_ + kRenewalDelayMs;
    if (state_ != State::kNotRequested)
      return;
    state_ = State::kRequested;
    releaseMs_ = nowMs + releaseLimitMs_;
  }
  /// The first call, or a renewal, could not be written.
  void requestFailed() {
    state_ = state_ == State::kNotRequested ? State::kOver : State::kDoubtful;
  }
  /// The renewal that due() requested is being sent.
  void renewing() { state_ = State::kRenewing; }
  /// The call was answered, or has failed without an answer.
  void answered(Answer answer) {
    if (answer == Answer::kGranted)
      return grant();
    if (answer == Answer::kRefused && state_ == State::kRequested)
      state_ = State::kOver;
    else if (answer != Answer::kRefused || state_ == State::kRenewing)
      state_ = State::kDoubtful;
  }
  /// The prefill has ended. The request's next attempt, or its release, takes over a granted
  /// reservation.
  void prefillEnded() {
    prefillEnded_ = true;
    if (state_ == State::kGranted || state_ == State::kReleased)
      state_ = State::kOver;
  }
  /// The release that due() requested is being sent. A prefill in flight may still run without
  /// being known to the decode instance, and leave its KV cache behind without an answer. Hence
  /// another release follows after each release limit.
  void releasing(double nowMs) {
    state_ = prefillEnded_ ? State::kOver : State::kReleased;
    releaseMs_ = nowMs + releaseLimitMs_;
  }

  Step due(double nowMs) const {
    if (state_ == State::kDoubtful)
      return Step::kRelease;
    if (state_ != State::kGranted && nextMs() && nowMs >= releaseMs_)
      return Step::kRelease;
    return state_ == State::kGranted && nowMs >= renewMs_ ? Step::kRenew : Step::kNone;
  }
  /// When due() has to be called next.
  std::optional<double> nextMs() const {
    if (state_ == State::kGranted)
      return renewMs_;
    if (state_ == State::kRequested || state_ == State::kRenewing || state_ == State::kReleased)
      return releaseMs_;
    return std::nullopt;
  }
  /// Until when this reservation requires no release while the prefill is in flight; 0 if it
  /// requires one.
  double coversUntilMs() const {
    const bool covers =
        state_ == State::kRequested || state_ == State::kGranted || state_ == State::kRenewing;
    return covers ? releaseMs_ : 0;
  }
  /// Whether no further step is needed.
  bool over() const { return state_ == State::kOver; }

 private:
  enum class State { kNotRequested, kRequested, kGranted, kRenewing, kDoubtful, kReleased, kOver };

  // A renewal that is not answered in time is released at the limit set here.
  void grant() {
    releaseMs_ = renewMs_ + kRenewalAnswerMs;
    state_ = prefillEnded_ ? State::kOver : State::kGranted;
  }

  double releaseLimitMs_;
  double renewMs_ = 0;    // when a granted reservation is renewed
  double releaseMs_ = 0;  // when any other is released
  State state_ = State::kNotRequested;
  bool prefillEnded_ = false;
};

}  // namespace inference_router::upstream
