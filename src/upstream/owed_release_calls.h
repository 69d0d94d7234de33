/// Carries the releases that are owed to single instances; when they are due is
/// OwedReleases'.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/owed_releases.h"

namespace inference_router::upstream {

class OwedReleaseCalls {
 public:
  /// The head of the message that releases a request.
  using Head = std::function<std::string(const routing::RequestId&, const InstanceEndpoint&)>;

  OwedReleaseCalls(net::ConnectionPool& pool,
                   InstanceDirectory& directory,
                   const core::Clock& clock,
                   core::TimerQueue& timers,
                   core::Counters& counters,
                   double withinMs,
                   Head head);
  ~OwedReleaseCalls();
  OwedReleaseCalls(const OwedReleaseCalls&) = delete;
  OwedReleaseCalls& operator=(const OwedReleaseCalls&) = delete;

  /// A call for the request was written to the instance and given up without an answer.
  void owe(const routing::InstanceId& instance, const routing::RequestId& request);
  void within(double ms) { owed_.apart(ms / 2); }
  std::size_t size() const { return owed_.size(); }

 private:
  class Sink;
  struct Sent {
    std::shared_ptr<net::Call> call;
    std::optional<core::TimerQueue::Key> limit;
  };

  void step();
  void stepAt(std::optional<double> atMs);
  void send(const OwedReleases::Release& release);
  void ended(std::uint64_t number, const OwedReleases::Release& release, bool accepted);
  void forgetReplaced();

  net::ConnectionPool& pool_;
  InstanceDirectory& directory_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  Head head_;
  OwedReleases owed_;
  std::map<routing::InstanceId, double> startedMs_;  // of instances that are owed any, as told then
  std::map<std::uint64_t, Sent> sent_;
  std::optional<core::TimerQueue::Key> next_;
  std::uint64_t calls_ = 0;
};

}  // namespace inference_router::upstream
