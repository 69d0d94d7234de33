// What routers of one installation do together, put together for one of them: the store that the
// operator's file names, the leases and tasks, this router's own word, and the plan's drains in
// its membership.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/server.h"
#include "app/shared_state_service.h"
#include "control/commands.h"
#include "coordination/plan_commands.h"
#include "coordination/presence.h"
#include "coordination/runner.h"
#include "coordination/setup.h"

namespace inference_router::app {

class Coordinator {
 public:
  // sharer: what else the store carries; none where nothing is shared beside leases.
  Coordinator(Server& server,
              const routing::wire::Setup& site,
              coordination::Setup setup,
              SharedStateService* sharedState = nullptr);
  ~Coordinator();

  // Another store or other times: what is held is let go first. A name that changes needs a new
  // start.
  void reconfigure(coordination::Setup fresh);

  // Leases are let go of in order; asked for no more until again().
  void resign();
  void again();
  bool out() const;

  std::string leases(bool json) const { return run_->runner.report(json); }
  std::string plan() const;
  void maintenance(const std::vector<std::string>& words,
                   std::function<void(control::Service::Done)> reply);

 private:
  struct Run {  // of one setup
    Run(Coordinator& owner, coordination::Setup setup);
    coordination::Setup setup;
    std::unique_ptr<coordination::Store> store;
    coordination::Runner runner;
  };

  void begin(coordination::Setup setup);
  void saw(const coordination::View& view, bool whole);
  void speak();
  void apply(const coordination::View& view);
  coordination::FleetInstances instances() const;
  void command(coordination::PlanCommand command,
               int tries,
               std::function<void(control::Service::Done)> reply);

  Server& server_;
  const routing::wire::Setup& site_;
  SharedStateService* sharedState_;
  coordination::Holder who_;
  std::uint64_t seed_;
  coordination::PresencePublisher presence_;
  std::optional<coordination::Plan> plan_;  // as it was last heard and believed
  std::optional<coordination::Setup> coming_;
  bool resigned_ = false, saidRival_ = false, saidBack_ = false;
  std::optional<core::TimerQueue::Key> turn_;
  std::unique_ptr<Run> run_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace inference_router::app
