/// When instances started, on this process's monotonic clock.
///
/// Discovery tells start times by wall clocks of other machines, and this machine's may be off by
/// any amount or be stepped: it is not read here. How the told times stand to the moments in which
/// they were heard says enough: no instance starts after it is told of. So the one that was told of
/// soonest after its start fixes how the clocks stand to each other, and the age of another is by
/// as much too small as that one's news were old. What has changed since the last word from
/// discovery has started since, whatever it is told with. What is not known for certain makes an
/// instance younger, never older. No I/O.
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

  /// A list is about to be read that tells of a start at this time, by discovery's clock. All of a
  /// list's come before the first of them is asked for by startOf().
  void sees(double upSinceMs);
  /// When the instance started; the same as long as it is told with the same time. Nothing if it
  /// started long ago (zero).
  std::optional<double> startOf(const std::string& id, double upSinceMs);
  /// Discovery has said something, which is read: what it tells later has changed since.
  void heard() { heardMs_ = clock_.nowMs(); }
  /// An instance that has left the list.
  void forget(const std::string& id) { known_.erase(id); }
  /// The same for all that a whole list does not name.
  void keepOnly(const std::set<std::string>& listed);

 private:
  struct Known {
    double upSinceMs;
    double startedMs;
  };
  double estimate(double upSinceMs) const;

  const core::Clock& clock_;
  std::optional<double> heardMs_;
  std::optional<double> offsetMs_;  // from this clock to discovery's, at least
  std::map<std::string, Known> known_;
};

}  // namespace inference_router::fleet
