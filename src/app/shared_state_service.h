// Connects shared state to the program: it carries the node's reports through the coordinator's
// store, records the results of attempts, meters the tokens of the front's requests, and applies
// verdicts to the membership.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/server.h"
#include "coordination/task.h"
#include "frontend/openai/token_meter.h"
#include "shared/digest_task.h"
#include "shared/node.h"
#include "shared/setup.h"

namespace inference_router::app {

class SharedStateService final : public frontend::TokenMeter {
 public:
  using Put =
      std::function<void(coordination::Write, std::function<void(coordination::CommitAnswer)>)>;

  SharedStateService(Server& server,
                     const routing::wire::Setup& site,
                     shared::SharedSetup setup,
                     const std::string& name);
  ~SharedStateService() override;

  // Sets how documents are written from now on.
  void carriedBy(Put put) { put_ = std::move(put); }
  void reconfigure(shared::SharedSetup setup);
  // leaving: no more requests are taken; false undoes it.
  void leave(bool leaving) { node_.leave(leaving); }

  // The task that makes the digest, for the router that holds its lease.
  std::unique_ptr<coordination::FleetTask> task(double longestStepMs);
  std::vector<std::string> keys() const { return node_.keys(); }
  std::size_t nodes() const { return node_.nodes(); }
  void saw(const coordination::View& view);

  std::string report(bool json);

  std::optional<frontend::BudgetDenied> reserve(const std::string& tenant,
                                                const std::string& cls,
                                                std::uint64_t tokens,
                                                shared::Reservation& to) override;
  void ended(const std::string& tenant,
             const std::string& cls,
             const shared::Reservation& reservation,
             const shared::SharedNode::Ended& how) override;

 private:
  void tick();
  void speak();
  void judge();
  void split();
  void say();
  void witness(const routing::Event& event);
  std::map<std::string, shared::KnownInstance> instances() const;

  Server& server_;
  const routing::wire::Setup& site_;
  shared::SharedSetup setup_;
  shared::SharedNode node_;
  shared::DigestTask* task_ = nullptr;  // owned by the runner; replaced by the next call of task()
  Put put_;
  std::map<std::string, shared::Availability> availabilities_;
  std::size_t splitAmong_ = 0;
  shared::ConnectivityState loggedState_ = shared::ConnectivityState::kRejoining;
  std::string saidTrouble_;
  std::optional<core::TimerQueue::Key> next_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace inference_router::app
