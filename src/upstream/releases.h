/// Sends releases to the instances. A release covers everything that any instance holds for a
/// request, including the results of what was in flight when it was decided. ReleaseRetry decides
/// when and how many instances are called; this class selects them. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/release_retry.h"
#include "upstream/timed_call_sink.h"

namespace inference_router::upstream {

class Releases {
 public:
  /// Returns the head of the message that releases a request.
  using Head = std::function<std::string(const routing::RequestId&, const InstanceEndpoint&)>;
  /// Returns from when on a release does not affect the request's attempts in flight; nothing if
  /// there are none.
  using AllowedFromMs = std::function<std::optional<double>(const routing::RequestId&)>;
  /// Receives log lines.
  using Log = std::function<void(const std::string&)>;

  /// releaseLimitMs is the time within which everything has to be released.
  Releases(const CallServices& services,
           double releaseLimitMs,
           Head head,
           AllowedFromMs allowedFromMs,
           Log log);
  ~Releases();
  Releases(const Releases&) = delete;
  Releases& operator=(const Releases&) = delete;

  /// Releases everything that is held for the request.
  void release(const routing::RequestId& request);
  /// The same while an attempt is in flight that may not have reached its instance. If it has, the
  /// instances do not release what the attempt needs.
  void releaseDuringAttempt(const routing::RequestId& request);
  /// An attempt of the request starts. Earlier rounds may have missed held state, and it is unknown
  /// whether the attempt will reach its instance and use that state. So further rounds wait until
  /// the time that a prefill usually takes has passed since the attempt was written, in order not
  /// to affect it. Once the attempt has ended without a new release, they are cancelled.
  void attemptStarted(const routing::RequestId& request);
  /// Runs a task that makes an instance hold something for the request. If a round of a release is
  /// in progress, the task runs after it, as the round would release that, too.
  void runAfterRound(const routing::RequestId& request, std::function<void()> task);
  /// A reservation call is in flight to an instance.
  void reservationSent(const routing::RequestId& request) { ++pendingReservations_[request]; }
  /// A reservation call was answered or has failed. A release that was requested in between may
  /// have overtaken it.
  void reservationSettled(const routing::RequestId& request);
  void setReleaseLimit(double ms) { releaseLimitMs_ = ms; }

  /// How many releases, and reservation calls that may still be granted, are in flight. The program
  /// waits for both before it exits.
  std::size_t inFlight() const { return releases_.size() + pendingReservations_.size(); }

 private:
  class Sink;
  using CallNumber = std::uint64_t;
  struct ReleaseProgress {
    ReleaseProgress(double nowMs, double releaseLimitMs)
        : retry(nowMs, releaseLimitMs), requestedMs(nowMs) {}
    ReleaseRetry retry;
    std::map<CallNumber, std::shared_ptr<net::Call>> calls;  // in flight
    std::set<routing::InstanceId> calledInstances;           // since all instances were called once
    CallNumber firstCallOfRound = 0;                         // answers to earlier calls are ignored
    routing::InstanceId lastAcceptedBy;  // the next round prefers another instance
    double requestedMs = 0;              // since when the held state has to be released
    bool accepted = false;               // by any instance
    bool requestedAgain = false;         // during a round, which may have been too early
    bool attemptStarted = false;         // since the release was requested
    std::vector<std::function<void()>> tasksAfterRound;
    core::Timer nextTimer;
  };

  void advance(const routing::RequestId& request);
  bool sendDueCalls(const routing::RequestId& request, ReleaseProgress& state);
  void sendCall(const routing::RequestId& request,
                ReleaseProgress& state,
                const routing::InstanceId& instance);
  void answered(const routing::RequestId& request,
                CallNumber number,
                const routing::InstanceId& instance,
                bool accepted);
  void checkReleaseTime(const routing::RequestId& request, ReleaseProgress& state);
  void abandonUnwritten(ReleaseProgress& state);
  void finish(const routing::RequestId& request);
  std::optional<double> nextRoundMs(const routing::RequestId& request,
                                    const ReleaseProgress& state) const;
  const routing::InstanceId* bestInstance(const ReleaseProgress& state) const;

  CallServices services_;
  double releaseLimitMs_;
  Head head_;
  AllowedFromMs allowedFromMs_;
  Log log_;
  std::map<routing::RequestId, ReleaseProgress> releases_;
  std::map<routing::RequestId, int> pendingReservations_;
  CallNumber lastNumber_ = 0;
  std::size_t callsInFlight_ = 0;  // of all releases
};

}  // namespace inference_router::upstream
