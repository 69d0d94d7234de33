/// Whether discovery confirms the endpoint list that is in use, and if not, since when and why. No
/// I/O.
#pragma once

#include <optional>

namespace inference_router::fleet {

/// Why the endpoint list may be outdated.
enum class ListDoubt {
  kNotListed,    ///< no list has come from discovery since the start
  kMoved,        ///< discovery has moved, and its new address has sent no list
  kWatchEnded,   ///< the watch has ended, and no other one is open
  kWatchSilent,  ///< the watch has sent nothing for too long
  kCount,
};

constexpr const char* nameOf(ListDoubt doubt) {
  switch (doubt) {
    case ListDoubt::kNotListed:
      return "not_listed";
    case ListDoubt::kMoved:
      return "moved";
    case ListDoubt::kWatchEnded:
      return "watch_ended";
    case ListDoubt::kWatchSilent:
      return "watch_silent";
    case ListDoubt::kCount:
      break;
  }
  return "unknown";
}

/// The state. Times are of the monotonic clock, in milliseconds.
class ListConfirmation {
 public:
  /// The list is unconfirmed from the start.
  explicit ListConfirmation(double nowMs) : doubt_(ListDoubt::kNotListed), sinceMs_(nowMs) {}

  /// The list may be outdated since this time. While it is unconfirmed already, only the reason
  /// changes.
  void doubt(ListDoubt reason, double sinceMs) {
    if (!doubt_)
      sinceMs_ = sinceMs;
    doubt_ = reason;
  }
  void confirm(double nowMs) {
    if (doubt_)
      sinceMs_ = nowMs;
    doubt_.reset();
  }

  bool confirmed() const { return !doubt_; }
  /// Nothing while the list is confirmed.
  std::optional<ListDoubt> reason() const { return doubt_; }
  /// When the list was last confirmed anew, or became unconfirmed.
  double sinceMs() const { return sinceMs_; }

 private:
  std::optional<ListDoubt> doubt_;
  double sinceMs_;
};

}  // namespace inference_router::fleet
