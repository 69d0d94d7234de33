/// A task that one router at a time does for the whole fleet. All effects of a task are steps, that
/// is writes of documents; the runner commits each under the fence of the task's lease.
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
  /// Between two calls of FleetTask::next().
  double periodMs = 1'000;
  /// From the check of the lease to the store's answer.
  double maxStepMs = 1'000;
  /// Its successful steps are logged at debug level only.
  bool quiet = false;
};

/// What was last read of the store. A step that rests on an outdated view fails by its expected
/// revisions.
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
  /// The next step by this view; nothing if there is none now. Called only while this router holds
  /// the task's lease under this fence.
  virtual std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) = 0;
};

}  // namespace inference_router::coordination
