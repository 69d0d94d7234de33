/// A task that one router at a time performs for the whole fleet. A task acts only through steps,
/// which are sets of document writes; the runner commits each step under the fence of the task's
/// lease.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store.h"

namespace inference_router::coordination {

struct TaskConfig {
  std::string name;
  /// Interval between two calls of FleetTask::next().
  double periodMs = 1'000;
  /// Longest duration of a step, from the check of the lease to the store's response.
  double maxStepMs = 1'000;
  /// Successful steps are logged at debug level only.
  bool quiet = false;
};

/// The documents as last read from the store. A step that is based on an outdated view fails,
/// because its expected revisions no longer match.
struct View {
  std::map<std::string, Document> documents;
  std::uint64_t revision = 0;
  /// When the read was requested, by the process's monotonic clock.
  double readMs = 0;
};

struct Step {
  std::string description;  ///< For the log.
  std::vector<Write> writes;
};

class FleetTask {
 public:
  virtual ~FleetTask() = default;
  virtual const TaskConfig& config() const = 0;
  /// Returns the next step for this view, or nothing if there is none at present. Called only while
  /// this router holds the task's lease under this fence.
  virtual std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) = 0;
};

}  // namespace inference_router::coordination
