/// The reservation that a decode instance holds for a request whose prefill is out, as a lease that
/// runs out unless it is renewed. No I/O; times in milliseconds.
#pragma once

#include <optional>

namespace inference_router::upstream {

/// A granted reservation says that its instance holds a place. It proves nothing about the prefill,
/// whose bytes may never be read, or whose answer may be lost; and a reservation of which no
/// attempt is out has to be released in time. So a grant counts from the moment it was asked for,
/// and the reservation is asked for again before that time is over: the answer tells anew whether
/// the prefill is known to be out. What is refused, unknown or unanswered then is released.
class ReservationLease {
 public:
  enum class Answer { kGranted, kRefused, kUnknown, kNone };
  enum class Step { kNone, kRenew, kRelease };

  /// The protocol allows 300 ms over the settings' time limit. A renewal goes out late in them:
  /// each one costs its instance work, and most prefills end before it is due.
  static constexpr double kRenewLateMs = 200;
  static constexpr double kRenewalAnswerMs =
      80;  ///< a grant comes at once; "not known" comes 300 ms late

  /// withinMs: within which what no attempt covers has to be released.
  explicit ReservationLease(double withinMs) : withinMs_(withinMs) {}

  /// A call for it has been written, the first one or a renewal.
  void asked(double nowMs) {
    renewMs_ = nowMs + withinMs_ + kRenewLateMs;
    if (state_ != State::kUnasked)
      return;
    state_ = State::kAsked;
    releaseMs_ = nowMs + withinMs_;
  }
  /// The first call, or a renewal, could not be written.
  void notAsked() { state_ = state_ == State::kUnasked ? State::kOver : State::kDoubtful; }
  void renewing() { state_ = State::kRenewing; }
  void answered(Answer answer) {
    if (answer == Answer::kGranted)
      return grant();
    if (answer == Answer::kRefused && state_ == State::kAsked)
      state_ = State::kOver;
    else if (answer != Answer::kRefused || state_ == State::kRenewing)
      state_ = State::kDoubtful;
  }
  /// From now on the request's next attempt, or its release, takes care of what is granted already.
  void prefillEnded() {
    prefillEnded_ = true;
    if (state_ == State::kGranted || state_ == State::kReleased)
      state_ = State::kOver;
  }
  /// The release that due() asked for is on its way. A prefill that is out may run all the same,
  /// unknown to the instance that was asked, and leave its state without an answer: there is a
  /// release for that in each limit.
  void releasing(double nowMs) {
    state_ = prefillEnded_ ? State::kOver : State::kReleased;
    releaseMs_ = nowMs + withinMs_;
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
    if (state_ == State::kAsked || state_ == State::kRenewing || state_ == State::kReleased)
      return releaseMs_;
    return std::nullopt;
  }
  /// Until when nothing has to be released beside the prefill on account of this reservation; 0 if
  /// it has.
  double coversUntilMs() const {
    const bool covers =
        state_ == State::kAsked || state_ == State::kGranted || state_ == State::kRenewing;
    return covers ? releaseMs_ : 0;
  }
  bool over() const { return state_ == State::kOver; }

 private:
  enum class State { kUnasked, kAsked, kGranted, kRenewing, kDoubtful, kReleased, kOver };

  // A renewal that gets no answer in its time is released by the limit that held as it became due.
  void grant() {
    releaseMs_ = renewMs_ + kRenewalAnswerMs;
    state_ = prefillEnded_ ? State::kOver : State::kGranted;
  }

  double withinMs_;
  double renewMs_ = 0, releaseMs_ = 0;
  State state_ = State::kUnasked;
  bool prefillEnded_ = false;
};

}  // namespace inference_router::upstream
