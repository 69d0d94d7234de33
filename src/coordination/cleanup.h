/// The task that removes obsolete documents from the store: the presences of stopped routers, and
/// plans that finished long ago. A router counts as stopped once its presence has not changed for
/// the presence timeout by the lease holder's clock; a router that is still running writes it
/// again. Performs no I/O.
#pragma once

#include "coordination/task.h"
#include "coordination/unchanged_tracker.h"

namespace inference_router::coordination {

class Cleanup final : public FleetTask {
 public:
  struct Config {
    TaskConfig task{"cleanup", 2'000, 1'000};
    /// A router whose presence has not changed for this long counts as stopped.
    double presenceTimeoutMs = 120'000;
    /// How long a finished plan is retained.
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
