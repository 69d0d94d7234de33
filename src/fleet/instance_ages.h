/// When instances started, on this process's monotonic clock.
///
/// Discovery reports start times by the wall clocks of other machines, and this machine's wall
/// clock may be wrong or be stepped: it is not read. No instance starts after it is reported, so
/// the report that came soonest after its instance's start bounds the offset between the clocks;
/// the age of any other instance is underestimated by as much as that report was late. An instance
/// that changed since discovery's previous message started after that message, whatever time is
/// reported. Uncertainty makes an instance younger, never older. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"

namespace inference_router::fleet {

class InstanceAges {
 public:
  explicit InstanceAges(const core::Clock& clock) : clock_(clock) {}

  /// A start time in a message of discovery, by discovery's clock. To be called with all start
  /// times of a message before startTime() is called with any of them.
  void observeStart(double reportedStartMs);
  /// When the instance started; constant while it is reported with the same start time. Nothing if
  /// the reported time is zero, which means long ago.
  std::optional<double> startTime(const std::string& id, double reportedStartMs);
  /// A message of discovery was processed: changes in later messages happened after now.
  void onContact() { lastContactMs_ = clock_.nowMs(); }
  /// The instance has left the list.
  void forget(const std::string& id) { starts_.erase(id); }
  /// The same for all instances that are not in a full list.
  void keepOnly(const std::set<std::string>& listed);

 private:
  struct InstanceStart {
    double reportedStartMs;
    double startedMs;
  };
  double estimate(double reportedStartMs) const;

  const core::Clock& clock_;
  std::optional<double> lastContactMs_;
  std::optional<double> offsetMs_;  // from this clock to discovery's; a lower bound
  std::map<std::string, InstanceStart> starts_;
};

}  // namespace inference_router::fleet
