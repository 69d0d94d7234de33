/// Connects shared state to the program: carries the node's reports through the coordinator's
/// store, records the results of attempts, meters the tokens of the front's requests, and excludes
/// instances that the other routers saw fail.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/server.h"
#include "app/shared_state_report.h"
#include "control/admin_api.h"
#include "coordination/task.h"
#include "core/callback_guard.h"
#include "frontend/openai/token_meter.h"
#include "shared/digest_task.h"
#include "shared/node.h"
#include "shared/setup.h"

namespace inference_router::app {

/// Belongs to the thread of the server's loop.
class SharedStateService final : public frontend::TokenMeter {
 public:
  /// Writes a document to the store and calls back with the result.
  using Writer =
      std::function<void(coordination::Write, std::function<void(coordination::CommitResponse)>)>;

  SharedStateService(Server& server,
                     const routing::wire::Setup& site,
                     shared::SharedSetup setup,
                     const std::string& name);

  /// How documents are written from now on; null: not at all.
  void setWriter(Writer writer) { writer_ = std::move(writer); }
  void reconfigure(shared::SharedSetup setup);
  /// draining: no more requests are taken, so unused loans are returned; false undoes it.
  void setDraining(bool draining) { node_.setDraining(draining); }

  /// The task that makes the digest, for the router that holds its lease. The one made last is
  /// observed, and has to live as long as this object or until the next one is made.
  std::unique_ptr<coordination::FleetTask> makeDigestTask(double maxStepMs);
  /// The keys of the documents that this router has to read.
  std::vector<std::string> keys() const { return node_.keys(); }
  /// The number of live routers.
  std::size_t nodes() const { return node_.nodes(); }
  void readView(const coordination::View& view);

  std::string report(control::ReportFormat format);

  std::optional<frontend::BudgetDenied> reserve(const std::string& tenant,
                                                const std::string& cls,
                                                std::uint64_t tokens,
                                                shared::Reservation& to) override;
  void settle(const std::string& tenant,
              const std::string& cls,
              const shared::Reservation& reservation,
              const shared::SharedNode::RequestUsage& usage) override;

 private:
  void tick();
  void writeReport();
  void recordOutcome(const routing::Event& event);
  std::map<std::string, shared::KnownInstance> instances() const;
  void updateExclusions();
  void logChanges(const Availabilities& availabilities) const;
  void applyExclusions(const std::set<std::string>& excluded);
  void shareLimits();
  frontend::BudgetDenied explain(shared::Denial denial, const std::string& tenant) const;
  void observe();
  void logConnectivity();
  void logFault();
  void publishCounters();

  Server& server_;
  const routing::wire::Setup& site_;
  shared::SharedSetup setup_;
  shared::SharedNode node_;
  shared::DigestTask* digestTask_ = nullptr;  // owned by the coordinator's runner
  Writer writer_;
  Availabilities availabilities_;
  std::size_t limitsSharedBy_ = 0;  // nodes
  shared::ConnectivityState loggedState_ = shared::ConnectivityState::kRejoining;
  std::string loggedFault_;
  core::Timer timer_;
  core::CallbackGuard guard_;  // the last member
};

}  // namespace inference_router::app
