/// The task that removes from the store what is not needed any more: the presences of routers that
/// are gone, and plans that ended long ago. A router counts as gone when its presence has not
/// changed for long by the holder's own clock; one that comes back writes it again. No I/O.
#pragma once

#include "coordination/task.h"
#include "coordination/unchanged_tracker.h"

namespace inference_router::coordination {

class Cleanup final : public FleetTask {
 public:
  struct Config {
    TaskConfig task{"cleanup", 2'000, 1'000};
    /// After which a router whose presence does not change counts as gone.
    double goneMs = 120'000;
    /// For which an ended plan is kept.
    double planRetentionMs = 3'600'000;
  };

  explicit Cleanup(Config config) : config_(std::move(config)) {}

  const TaskConfig& config() const override { return config_.task; }
  std::optional<Step> next(const View& view, std::uint64_t fence, double nowMs) override;

 private:
  std::optional<double> retentionMs(const std::string& key, const Document& document) const;

  Config config_;
  UnchangedTracker ages_;
  double lastCallMs_ = 0;
};

}  // namespace inference_router::coordination
