// The task that removes what routers that are gone left behind in the store: their documents,
// and plans that ended long ago. A router counts as gone when its document has not changed for
// long by the holder's own clock; no clock of another machine is read, and one that comes back
// writes its document anew. No I/O.
#pragma once

#include "coordination/seen.h"
#include "coordination/task.h"

namespace inference_router::coordination {

class Cleanup final : public FleetTask {
 public:
  struct Config {
    TaskConfig task{"cleanup", 2'000, 1'000};
    double goneMs = 120'000;
    double planMs = 3'600'000;  // that an ended plan stays to be looked at
  };

  explicit Cleanup(Config config) : config_(std::move(config)) {}

  const TaskConfig& config() const override { return config_.task; }
  std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) override;

 private:
  Config config_;
  Seen seen_;
  double lookedMs_ = 0;
};

}  // namespace inference_router::coordination
