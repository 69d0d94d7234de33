// Carries the leases and tasks of one router: asks the store what the machines want asked, reads
// what all share, and commits steps under the fence that goes with them. What it decides by itself
// is only when to look.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/task.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"

namespace inference_router::coordination {

class Runner {
 public:
  struct Parts {
    Store& store;
    const core::Clock& clock;
    core::TimerQueue& timers;
    core::Counters& counters;
  };

  // terms: of every task's lease, but for its name and longest step. Throws std::invalid_argument
  // if a task's lease would be too short for its step.
  Runner(Parts parts, Holder who, std::uint64_t seed, LeaseConfig config, double watchMs);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  void add(std::unique_ptr<FleetTask> task);
  // whole: all documents were read, not only those that this router needs.
  void onView(std::function<void(const View&, bool whole)> told) { told_ = std::move(told); }
  // Who holds no lease reads only these documents: what all routers read is paid for by all.
  // Without it everybody reads everything.
  void needs(std::function<std::vector<std::string>()> keys) { needs_ = std::move(keys); }
  void start();
  void refresh();  // reads the store now, as what was just written is to be seen
  void candidates(std::size_t count);

  // Lets go of all leases in order, once steps under way have ended.
  void resign();
  void again();
  bool out() const;

  const View& view() const { return view_; }
  bool hears() const;  // the store was read of late
  const std::string& storeTrouble() const { return trouble_; }
  // Who holds what, since when and why, a line for each task; or the same as JSON.
  std::string report(bool json) const;

 private:
  struct Slot {
    std::unique_ptr<FleetTask> task;
    Lease lease;
    double nextLookMs = 0;
    std::uint64_t refusedByFence = 0, steps = 0;
    LeaseState logged = LeaseState::kCandidate;
  };

  void tick();
  void schedule();
  void work(Slot& slot);
  void committed(Slot& slot, const Step& step, const CommitAnswer& answer);
  void follow(Slot& slot);
  void read();

  Parts parts_;
  Holder who_;
  std::uint64_t seed_;
  LeaseConfig config_;
  double watchMs_, nextReadMs_ = 0;
  std::vector<std::unique_ptr<Slot>> slots_;
  std::function<void(const View&, bool)> told_;
  std::function<std::vector<std::string>()> needs_;
  bool holdsAny(double nowMs) const;
  View view_;
  bool whole_ = false;  // the view has all documents
  std::string trouble_ = "not read yet";
  bool reading_ = false, readAgain_ = false;
  std::optional<core::TimerQueue::Key> next_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace inference_router::coordination
