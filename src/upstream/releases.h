/// Carries releases to the instances: everything that any instance holds for a request is released,
/// and whatever was in flight when that was decided. When to ask how many instances is decided by
/// ReleaseRetry; which ones, here. Belongs to one thread.
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
  /// The head of the message that releases a request.
  using Head = std::function<std::string(const routing::RequestId&, const InstanceEndpoint&)>;
  /// While an attempt of the request is in flight: from when on a release takes nothing from it.
  using AllowedFromMs = std::function<std::optional<double>(const routing::RequestId&)>;
  /// Receives lines for the log.
  using Report = std::function<void(const std::string&)>;

  /// releaseLimitMs: within which everything has to be released.
  Releases(const CallServices& services,
           double releaseLimitMs,
           Head head,
           AllowedFromMs allowedFromMs,
           Report report);
  ~Releases();
  Releases(const Releases&) = delete;
  Releases& operator=(const Releases&) = delete;

  /// Releases all that is held for the request.
  void release(const routing::RequestId& request);
  /// The same while an attempt is in flight of which nothing shows yet that it has reached its
  /// instance: if it has, the instances skip what it waits for.
  void releaseBeside(const routing::RequestId& request);
  /// An attempt of the request starts. What was left may have been missed, and nothing tells
  /// whether the attempt will reach its instance and take it: further rounds wait until its bytes
  /// have been out for the time that a prefill usually takes, so that they take nothing from it.
  /// Once it has ended without a new release, they are off.
  void attemptStarted(const routing::RequestId& request);
  /// Runs a task that makes an instance hold something for the request: at once if no round of a
  /// release is under way, else after it, as it would release that too.
  void runAfterRound(const routing::RequestId& request, std::function<void()> task);
  /// A call for a reservation is on its way to an instance.
  void reservationSent(const routing::RequestId& request) { ++pendingReservations_[request]; }
  /// A call for a reservation was answered or has failed. A release that was asked for in between
  /// may have arrived before it.
  void reservationSettled(const routing::RequestId& request);
  void setReleaseLimit(double ms) { releaseLimitMs_ = ms; }

  /// How many releases, and calls for reservations that may yet be granted, are in flight: the
  /// program waits for both before it ends.
  std::size_t inFlight() const { return releases_.size() + pendingReservations_.size(); }

 private:
  class Sink;
  using CallNumber = std::uint64_t;
  struct Releasing {
    Releasing(double nowMs, double releaseLimitMs)
        : retry(nowMs, releaseLimitMs), requestedMs(nowMs) {}
    ReleaseRetry retry;
    std::map<CallNumber, std::shared_ptr<net::Call>> calls;  // in flight
    std::set<routing::InstanceId> asked;                     // since all instances were asked once
    CallNumber firstOfRound = 0;         // an answer to an earlier call proves nothing
    routing::InstanceId lastAcceptedBy;  // the next round asks another, if it can
    double requestedMs = 0;              // since when what is held has to be released
    bool accepted = false;               // by any instance
    bool requestedAgain = false;         // within a round, which may have come too early
    bool attemptStarted = false;         // since the release was asked for
    std::vector<std::function<void()>> afterRound;
    core::Timer next;
  };

  void advance(const routing::RequestId& request);
  bool askDue(const routing::RequestId& request, Releasing& state);
  void ask(const routing::RequestId& request,
           Releasing& state,
           const routing::InstanceId& instance);
  void answered(const routing::RequestId& request,
                CallNumber number,
                const routing::InstanceId& by,
                bool accepted);
  void checkReleaseTime(const routing::RequestId& request, Releasing& state);
  void abandonUnwritten(Releasing& state);
  void finish(const routing::RequestId& request);
  std::optional<double> nextRoundMs(const routing::RequestId& request,
                                    const Releasing& state) const;
  const routing::InstanceId* bestInstance(const Releasing& state) const;

  CallServices services_;
  double releaseLimitMs_;
  Head head_;
  AllowedFromMs allowedFromMs_;
  Report report_;
  std::map<routing::RequestId, Releasing> releases_;
  std::map<routing::RequestId, int> pendingReservations_;
  CallNumber lastNumber_ = 0;
  std::size_t callsInFlight_ = 0;  // of all releases
};

}  // namespace inference_router::upstream
