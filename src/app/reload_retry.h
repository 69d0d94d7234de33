/// Takes over a changed configuration, and tries again until that has succeeded. A signal asks for
/// it only once, so a file that cannot be read or used at that moment must not end the matter.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"

namespace inference_router::app {

/// How a router takes over its configuration. Both functions throw std::exception if the file
/// cannot be read or used, and have changed nothing then.
struct ReloadSteps {
  /// Reads the file and applies it.
  std::function<void()> reload = {};
  /// The same if the file differs from the one applied last; returns whether it does. Empty: the
  /// file is looked at after a signal only.
  std::function<bool()> refresh = {};
};

/// A reload that has failed so far. Times are of the monotonic clock, in milliseconds.
struct PendingReload {
  double sinceMs = 0;  ///< when it was first tried
  int attempts = 0;
  std::string reason;  ///< why the last attempt failed
  double nextMs = 0;   ///< time of the next attempt
};

/// One line on a reload that is pending, or on the lack of one.
std::string describe(const std::optional<PendingReload>& pending, double nowMs);

/// Retries reloads with backoff. Belongs to the thread of the event loop; clock, timers and
/// counters must outlive it.
class ReloadRetry {
 public:
  ReloadRetry(const core::Clock& clock, core::TimerQueue& timers, core::Counters& counters)
      : clock_(clock), timers_(timers), counters_(counters) {}

  void setSteps(ReloadSteps steps) { steps_ = std::move(steps); }
  /// A signal asks for a reload. The file is read at once, and for a while after its success
  /// looked at again: who replaces it may be a moment behind the signal.
  void request();
  /// Takes over a file that has changed without a signal. Does nothing while a reload is pending.
  void refresh();
  /// Nothing if the file that was read last is in use.
  const std::optional<PendingReload>& pending() const { return pending_; }

 private:
  void attempt();
  void succeeded();
  void failed(const std::string& reason);
  void watchFile();

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  ReloadSteps steps_;
  std::optional<PendingReload> pending_;
  double watchFileUntilMs_ = 0;
  double loggedMs_ = 0;  // when the pending reload was logged last
  core::Timer timer_;    // the next attempt, or the next look at the file
};

}  // namespace inference_router::app
