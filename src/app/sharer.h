// What this conductor shares with the others, put together: the node's state, its carriage by the
// coordinator's store, what the core saw of boxes, the front's accounts, and the judgements in the
// membership.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/conductor_app.h"
#include "coordination/task.h"
#include "fronts/openai/meter.h"
#include "shared/digest_task.h"
#include "shared/node.h"
#include "shared/setup.h"

namespace dahliastall::app {

class Sharer final : public fronts::TokenMeter {
 public:
  using Put = std::function<void(coordination::Write, std::function<void(coordination::CommitAnswer)>)>;

  Sharer(Engine& engine, const leverrelay::wire::Setup& site, shared::SharedSetup setup,
         const std::string& name);
  ~Sharer() override;

  // The store that carries it, from now on.
  void carriedBy(Put put) { put_ = std::move(put); }
  void reconfigure(shared::SharedSetup setup);
  // It takes no more requests, or does so again.
  void leave(bool leaving) { node_.leave(leaving); }

  // The task of the one that makes the digest.
  std::unique_ptr<coordination::FleetTask> task(double longestStepMs);
  std::vector<std::string> keys() const { return node_.keys(); }
  std::size_t nodes() const { return node_.nodes(); }
  void saw(const coordination::View& view);

  std::string report(bool json);

  std::optional<fronts::BudgetDenied> reserve(const std::string& tenant, const std::string& cls,
                                              std::uint64_t tokens, shared::Reservation& to) override;
  void ended(const std::string& tenant, const std::string& cls, const shared::Reservation& reservation,
             const shared::SharedNode::Ended& how) override;

 private:
  void tick();
  void speak();
  void judge();
  void split();
  void say();
  void witness(const leverrelay::Event& event);
  std::map<std::string, shared::KnownInstance> boxes() const;

  Engine& engine_;
  const leverrelay::wire::Setup& site_;
  shared::SharedSetup setup_;
  shared::SharedNode node_;
  shared::DigestTask* task_ = nullptr;  // the runner has it, and its next one takes its place
  Put put_;
  std::map<std::string, shared::Availability> availabilities_;
  std::size_t splitAmong_ = 0;
  shared::ConnectivityState loggedState_ = shared::ConnectivityState::kRejoining;
  std::string saidTrouble_;
  std::optional<core::Deadlines::Key> next_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dahliastall::app
