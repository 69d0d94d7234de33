// A task that one router does for the whole fleet. All that it may do is written down as a step
// of documents; the runner commits a step under the fence of the task's lease, and there is no
// other way to carry one out. What cannot be put so is not offered as a task.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/store.h"

namespace inference_router::coordination {

struct TaskConfig {
  std::string name;
  double periodMs = 1'000;       // between looks for a step
  double longestStepMs = 1'000;  // from the check of the lease to the answer of the store
  bool quiet = false;            // its steps are not worth a line in the log each
};

// What was last read of the store, and when; a step that rests on an old view fails by its
// revisions.
struct View {
  std::map<std::string, Doc> docs;
  std::uint64_t revision = 0;
  double readMs = 0;
};

struct Step {
  std::string what;  // for the log
  std::vector<Write> writes;
};

class FleetTask {
 public:
  virtual ~FleetTask() = default;
  virtual const TaskConfig& config() const = 0;
  // The next step by this view, as the holder under this fence; nothing if there is none now. Only
  // ever asked of the holder.
  virtual std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) = 0;
};

}  // namespace inference_router::coordination
