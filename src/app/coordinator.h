/// What the routers of one installation do together, assembled for one of them: the store that the
/// operator's file names, the leases and fleet tasks, this router's presence, and the maintenance
/// plan.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/plan_follower.h"
#include "app/server.h"
#include "app/shared_state_service.h"
#include "control/admin_api.h"
#include "coordination/maintenance.h"
#include "coordination/plan_commands.h"
#include "coordination/presence.h"
#include "coordination/runner.h"
#include "coordination/setup.h"
#include "core/callback_guard.h"

namespace inference_router::app {

/// Belongs to the thread of the server's loop.
class Coordinator {
 public:
  using ResultHandler = control::AdminApi::ResultHandler;

  /// sharedState: what else is carried through the store; null where nothing is shared beside
  /// leases. It must outlive this object.
  Coordinator(Server& server,
              const routing::wire::Setup& site,
              coordination::Setup setup,
              SharedStateService* sharedState = nullptr);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Changes to another store or to other times, once all leases are released. The name stays.
  void reconfigure(coordination::Setup setup);

  /// Releases all leases in order, and asks for none until rejoin().
  void resign();
  void rejoin();
  /// Whether all leases are released after resign().
  bool hasResigned() const { return session_->runner.fullyReleased(); }

  std::string leasesReport(control::ReportFormat format) const;
  std::string maintenanceReport() const;
  /// Carries out a maintenance command on the stored plan; onResult is called once it is written or
  /// has failed.
  void changeMaintenance(const control::Arguments& arguments, ResultHandler onResult);

 private:
  /// The store and the tasks of one setup.
  struct Session {
    Session(Coordinator& owner, coordination::Setup config);
    coordination::Setup setup;
    std::unique_ptr<coordination::Store> store;
    coordination::Runner runner;
  };
  /// A maintenance command that is being carried out.
  struct PlanChange {
    coordination::PlanCommand command;
    int attemptsLeft;
    ResultHandler onResult;
  };

  void beginSession(coordination::Setup setup);
  void beginPendingSession();
  void detachSharedState();
  void onView(const coordination::View& view, bool complete);
  void resignIfRivalled();
  void writePresence();
  void decide(const PlanChange& change);
  void write(const PlanChange& change, const coordination::PlanDecision& decision);
  void onWritten(const PlanChange& change,
                 const std::string& outcome,
                 const coordination::CommitResponse& answer);
  coordination::FleetInstances instances() const;

  Server& server_;
  const routing::wire::Setup& site_;
  SharedStateService* sharedState_;
  coordination::Holder self_;
  std::uint64_t seed_;
  coordination::PresencePublisher presence_;
  PlanFollower planFollower_;
  std::optional<coordination::Setup> pendingSetup_;  // begins once all leases are released
  bool resigned_ = false, rivalLogged_ = false;
  core::Timer pendingTimer_;
  std::unique_ptr<Session> session_;
  core::CallbackGuard guard_;  // the last member
};

}  // namespace inference_router::app
