// When to ask whom to let go of what is held for a request: asked too late, or only of instances that cannot
// be heard, it stays held beyond its time. Any instance passes a release on to all, so that one that hears is
// enough. No I/O; times in milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace dahliastall::fleet {

// One request's release: asked of one instance, then of twice as many more each time that nobody has
// answered, and, once answered, a second time. An attempt's close and the release travel on different
// connections: a read may still end well, and a place may still be taken, after the first release has passed.
class ReleaseCourse {
 public:
  static constexpr double kWaveMs = 40;     // without an answer before more are asked
  static constexpr double kSettleMs = 150;  // for closes and places that were under way to arrive
  static constexpr std::size_t kMostOut = 16;
  static constexpr double kGiveUpMs = 5'000;  // what is held longer has broken its limit long ago

  explicit ReleaseCourse(double nowMs) : beganMs_(nowMs), waveMs_(nowMs) {}

  // How many instances more to ask now, if so many calls of this release have no answer yet.
  std::size_t due(double nowMs, std::size_t out) {
    if (over(nowMs) || settlesMs_ || nowMs < waveMs_) return 0;
    const std::size_t wanted = std::min(wave_, kMostOut - std::min(out, kMostOut));
    wave_ = std::min(wave_ * 2, kMostOut);
    waveMs_ = nowMs + kWaveMs;
    return wanted;
  }

  // An instance has taken it. While a place that was asked for is neither held nor refused, it is open still.
  void taken(double nowMs) {
    if (settlesMs_ || done_) return;
    if (std::exchange(twice_, true)) done_ = true;
    else settlesMs_ = nowMs + kSettleMs;
  }
  // Everything that was under way has arrived: the second time begins.
  void settled(double nowMs) {
    if (!settlesMs_) return;
    settlesMs_.reset();
    wave_ = 1;
    beganMs_ = waveMs_ = nowMs;
  }
  // The last one that was asked cannot be heard: the next are asked without waiting.
  void failed(double nowMs) { waveMs_ = nowMs; }
  // Something may have come to be held since it began.
  void anew(double nowMs) { *this = ReleaseCourse(nowMs); }

  bool settling() const { return settlesMs_.has_value(); }
  bool over(double nowMs) const { return done_ || (!settlesMs_ && nowMs - beganMs_ >= kGiveUpMs); }
  bool done() const { return done_; }
  double nextMs() const { return settlesMs_.value_or(waveMs_); }

 private:
  double beganMs_, waveMs_;
  std::size_t wave_ = 1;
  std::optional<double> settlesMs_;
  bool twice_ = false, done_ = false;
};

}  // namespace dahliastall::fleet
