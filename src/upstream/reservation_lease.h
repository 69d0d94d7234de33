/// The reservation that a decode instance holds for a request whose prefill is in flight, as a
/// lease that expires unless it is renewed. No I/O; times in milliseconds.
#pragma once

#include <optional>

namespace inference_router::upstream {

/// A granted reservation says that its instance holds capacity. It proves nothing about the
/// prefill, whose bytes may never be read, or whose answer may be lost; and a reservation without
/// an attempt in flight has to be released in time. So a grant counts from the moment it was asked
/// for, and the reservation is renewed before that time is over: the answer says whether the
/// instance knows of the prefill. What is refused, unknown or unanswered then is released.
class ReservationLease {
 public:
  /// What the instance said to a call for it; kNone: nothing in time.
  enum class Answer { kGranted, kRefused, kUnknown, kNone };
  /// What is to be done now.
  enum class Step { kNone, kRenew, kRelease };

  /// The protocol allows 300 ms over the settings' time limit. A renewal goes out late in them:
  /// each one costs its instance work, and most prefills end before it is due.
  static constexpr double kRenewalDelayMs = 200;
  /// A grant comes at once; "not known" comes 300 ms late.
  static constexpr double kRenewalAnswerMs = 80;

  /// releaseLimitMs: within which what no attempt covers has to be released.
  explicit ReservationLease(double releaseLimitMs) : releaseLimitMs_(releaseLimitMs) {}

  /// A call for it has been written, the first one or a renewal.
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
  /// The renewal that due() asked for is on its way.
  void renewing() { state_ = State::kRenewing; }
  /// The call is answered, or will not be.
  void answered(Answer answer) {
    if (answer == Answer::kGranted)
      return grant();
    if (answer == Answer::kRefused && state_ == State::kRequested)
      state_ = State::kOver;
    else if (answer != Answer::kRefused || state_ == State::kRenewing)
      state_ = State::kDoubtful;
  }
  /// From now on the request's next attempt, or its release, covers what is granted already.
  void prefillEnded() {
    prefillEnded_ = true;
    if (state_ == State::kGranted || state_ == State::kReleased)
      state_ = State::kOver;
  }
  /// The release that due() asked for is on its way. A prefill in flight may run all the same,
  /// unknown to the instance that was asked, and leave its KV cache without an answer: hence a
  /// further release in each limit.
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
  /// When due() has to be asked next.
  std::optional<double> nextMs() const {
    if (state_ == State::kGranted)
      return renewMs_;
    if (state_ == State::kRequested || state_ == State::kRenewing || state_ == State::kReleased)
      return releaseMs_;
    return std::nullopt;
  }
  /// Until when nothing has to be released beside the prefill on account of this reservation; 0 if
  /// it has.
  double coversUntilMs() const {
    const bool covers =
        state_ == State::kRequested || state_ == State::kGranted || state_ == State::kRenewing;
    return covers ? releaseMs_ : 0;
  }
  /// Nothing more is to be done for it.
  bool over() const { return state_ == State::kOver; }

 private:
  enum class State { kNotRequested, kRequested, kGranted, kRenewing, kDoubtful, kReleased, kOver };

  // A renewal that gets no answer in its time is released by the limit that held as it became due.
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
