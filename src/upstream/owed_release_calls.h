/// Sends the releases that are owed to individual instances. OwedReleases decides when they are
/// due. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/owed_releases.h"
#include "upstream/timed_call_sink.h"

namespace inference_router::upstream {

class OwedReleaseCalls {
 public:
  /// Returns the head of the message that releases a request.
  using Head = std::function<std::string(const routing::RequestId&, const InstanceEndpoint&)>;

  /// releaseLimitMs is the time within which everything has to be released.
  OwedReleaseCalls(const CallServices& services, double releaseLimitMs, Head head);
  ~OwedReleaseCalls();
  OwedReleaseCalls(const OwedReleaseCalls&) = delete;
  OwedReleaseCalls& operator=(const OwedReleaseCalls&) = delete;

  /// Owes the instance a release: a call for the request was written to it and has timed out.
  void owe(const routing::InstanceId& instance, const routing::RequestId& request);
  void setReleaseLimit(double ms) { owed_.setInterval(ms / 2); }

 private:
  class Sink;
  using CallNumber = std::uint64_t;

  void sendDue();
  void scheduleNext();
  void send(const OwedReleases::Release& release);
  void ended(CallNumber number, const OwedReleases::Release& release, bool accepted);
  void forgetReplaced();

  CallServices services_;
  Head head_;
  OwedReleases owed_;
  /// Start times of the instances that are owed releases, as listed when the first of them was
  /// owed.
  std::map<routing::InstanceId, double> startedMs_;
  std::map<CallNumber, std::shared_ptr<net::Call>> calls_;  // in flight
  core::Timer nextTimer_;
  CallNumber lastNumber_ = 0;
};

}  // namespace inference_router::upstream
