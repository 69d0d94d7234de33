/// Runs the fleet tasks of one router: sends the requests of their leases to the store, reads the
/// shared documents, and commits the steps of held tasks under their fences.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/lease_report.h"
#include "coordination/task.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"

namespace inference_router::coordination {

/// Belongs to the event loop's thread.
class Runner {
 public:
  /// All of them have to outlive the runner.
  struct Parts {
    Store& store;
    const core::Clock& clock;
    core::TimerQueue& timers;
    core::Counters& counters;
  };
  /// complete: all documents were read, not only those of readOnly().
  using ViewCallback = std::function<void(const View&, bool complete)>;
  using KeyList = std::function<std::vector<std::string>()>;

  /// config: of every task's lease except for its name and its longest step. pollIntervalMs:
  /// between two reads of the store.
  Runner(Parts parts, Holder holder, std::uint64_t seed, LeaseConfig config, double pollIntervalMs);
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Throws std::invalid_argument if the lease would be too short for the task's steps.
  void add(std::unique_ptr<FleetTask> task);
  void onView(ViewCallback callback) { viewCallback_ = std::move(callback); }
  /// While no lease is held only these documents are read, which keeps the load of many routers on
  /// the store low. Without it all documents are read.
  void readOnly(KeyList keys) { keys_ = std::move(keys); }
  void start();
  /// Reads the store now, to see what was just written.
  void refresh();
  /// How many routers compete for the leases.
  void setCandidateCount(std::size_t count);

  /// Releases all leases in order, after the steps under way, and competes for none until rejoin().
  void resign();
  void rejoin();
  /// No lease is held, and no release is under way.
  bool fullyReleased() const;

  const View& view() const { return view_; }
  /// Whether the last read succeeded and is recent enough to act on.
  bool storeReadable() const;
  /// The state of all leases for operators: a line for each task, or JSON.
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

  Parts parts_;
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
  bool readAgain_ = false;  // once the read under way has ended
  core::Timer nextTick_;
  CallbackGuard guard_;
};

}  // namespace inference_router::coordination
