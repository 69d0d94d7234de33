/// When instances started, on this process's monotonic clock.
///
/// Discovery reports start times by the wall clocks of other machines. This machine's wall clock is
/// not read, as it may be wrong or be stepped. No instance starts after it is reported, so the
/// report that arrived soonest after the start of its instance bounds the offset between the
/// clocks; the ages of all other instances are underestimated by the delay of that report. An
/// instance that changed since discovery's previous message started after that message, whatever
/// start time is reported. Uncertainty makes an instance appear younger, never older. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"

namespace inference_router::fleet {

/// The start times of all listed instances.
class InstanceAges {
 public:
  explicit InstanceAges(const core::Clock& clock) : clock_(clock) {}

  /// Records a start time in a message of discovery, by discovery's clock. Must be called with all
  /// start times of a message before startTime() is called with any of them.
  void observeStart(double reportedStartMs);
  /// When the instance started; constant while the same start time is reported. Nothing if the
  /// reported time is zero, which means long ago.
  std::optional<double> startTime(const std::string& id, double reportedStartMs);
  /// Records that a message of discovery was processed: changes in later messages happened after
  /// now.
  void onContact() { lastContactMs_ = clock_.nowMs(); }
  /// Drops an instance that is no longer listed.
  void forget(const std::string& id) { starts_.erase(id); }
  /// Drops all instances that are not in a full list.
  void keepOnly(const std::set<std::string>& listed);

 private:
  struct InstanceStart {
    double reportedStartMs;
    double startedMs;
  };
  double estimate(double reportedStartMs) const;

  const core::Clock& clock_;
  std::optional<double> lastContactMs_;
  std::optional<double> offsetMs_;  // discovery's clock minus this one; a lower bound
  std::map<std::string, InstanceStart> starts_;
};

}  // namespace inference_router::fleet
