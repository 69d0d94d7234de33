/// Runs the fleet tasks of one router: sends the lease requests to the store, reads the shared
/// documents, and commits the steps of tasks whose lease is held under its fence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/lease_report.h"
#include "coordination/task.h"
#include "core/callback_guard.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"

namespace inference_router::coordination {

/// Not thread-safe: used on the event loop's thread only.
class Runner {
 public:
  /// All of them must outlive the runner.
  struct Dependencies {
    Store& store;
    const core::Clock& clock;
    core::TimerQueue& timers;
    core::Counters& counters;
  };
  /// complete: the view has all documents, not only those selected by readOnly().
  using ViewCallback = std::function<void(const View&, bool complete)>;
  using KeyList = std::function<std::vector<std::string>()>;

  /// config: applies to every task's lease, except for the task's name and longest step.
  /// pollIntervalMs: interval between two reads of the store.
  Runner(Dependencies dependencies,
         Holder holder,
         std::uint64_t seed,
         LeaseConfig config,
         double pollIntervalMs);
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Adds a task. Throws std::invalid_argument if the lease is too short for the task's steps.
  void add(std::unique_ptr<FleetTask> task);
  void onView(ViewCallback callback) { viewCallback_ = std::move(callback); }
  /// Selects the documents to read while no lease is held, which limits the load of many routers on
  /// the store. Without a selection all documents are read.
  void readOnly(KeyList keys) { keys_ = std::move(keys); }
  void start();
  /// Reads the store now, for instance after a write.
  void refresh();
  /// Sets the number of routers that compete for the leases.
  void setCandidateCount(std::size_t count);

  /// Releases all leases after the steps in progress, and competes for none until rejoin().
  void resign();
  void rejoin();
  /// No lease is held, and no release is in progress.
  bool fullyReleased() const;

  const View& view() const { return view_; }
  /// Whether the last read succeeded and is recent enough for steps to be based on it.
  bool storeReadable() const;
  /// Returns the state of all leases for operators: a line for each task, or JSON.
  std::string report(bool asJson) const;

 private:
  struct ManagedTask {
    ManagedTask(std::unique_ptr<FleetTask> fleetTask, Lease taskLease)
        : task(std::move(fleetTask)), lease(std::move(taskLease)) {}
    const std::string& name() const { return task->config().name; }

    std::unique_ptr<FleetTask> task;
    Lease lease;
    double nextStepMs = 0;
    std::uint64_t refusedByFence = 0;
    std::uint64_t steps = 0;
    LeaseState loggedState = LeaseState::kCandidate;
  };

  void tick();
  void scheduleNextTick();
  void requestLease(ManagedTask& managed);
  void beginStep(ManagedTask& managed);
  void onCommitted(ManagedTask& managed, const Step& step, const CommitResponse& response);
  void onLeaseChange(ManagedTask& managed);
  void publishCounts();
  void readStore();
  void onRead(const ReadResponse& response, double requestedMs, bool complete);
  void logReadability(const ReadResponse& response) const;
  void updateView(const ReadResponse& response, double requestedMs, bool complete);
  bool holdsAny(double nowMs) const;
  LeaseStatus statusOf(const ManagedTask& managed, double nowMs) const;

  Dependencies dependencies_;
  Holder holder_;
  std::uint64_t seed_;
  LeaseConfig config_;
  double pollIntervalMs_;
  double nextReadMs_ = 0;
  std::vector<std::unique_ptr<ManagedTask>> tasks_;
  ViewCallback viewCallback_;
  KeyList keys_;
  View view_;
  bool viewComplete_ = false;
  std::string storeError_ = "not read yet";  // empty: the last read succeeded
  bool reading_ = false;
  bool readAgain_ = false;  // after the pending read
  core::Timer nextTick_;
  core::CallbackGuard guard_;
};

}  // namespace inference_router::coordination
