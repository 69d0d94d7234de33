/// A candidate's side of the lease on a task that one router performs for the whole fleet.
///
/// A state machine without I/O: its inputs are the time and the store's responses, its output is
/// the next request. An unexpired lease alone does not make a write safe, since a holder may be
/// suspended or its messages delayed: each write carries a fence, and the store refuses a write
/// whose fence is not the newest.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "coordination/lease_config.h"
#include "coordination/lease_messages.h"
#include "coordination/lease_state.h"

namespace inference_router::coordination {

/// A fencing token: proof that the lease was held when it was checked. Only a Lease creates one, so
/// a step cannot be committed by code that has not acquired the lease.
class Fence {
 public:
  const std::string& task() const { return task_; }
  const Holder& holder() const { return holder_; }
  std::uint64_t number() const { return number_; }

 private:
  friend class Lease;
  Fence(std::string task, Holder holder, std::uint64_t number)
      : task_(std::move(task)), holder_(std::move(holder)), number_(number) {}
  std::string task_;
  Holder holder_;
  std::uint64_t number_;
};

/// Safety measures. Tests disable them one at a time, to verify that they detect the failure that
/// each one prevents.
struct LeaseGuards {
  /// Shortens the validity by the drift of both clocks.
  bool driftMargin = true;
  /// Counts the validity from when the request was sent, not from when its response arrived.
  bool validFromRequest = true;
};

/// All state that determines the future behaviour of a Lease, with times relative to now: two
/// leases with equal fingerprints behave alike. For tests that explore the state space.
struct LeaseFingerprint {
  struct PendingRequest {
    std::uint64_t number = 0;
    LeaseOperation operation = LeaseOperation::kAcquire;
    double ageMs = 0;
  };
  LeaseState state = LeaseState::kCandidate;
  std::uint64_t number = 0;
  std::uint64_t fence = 0;
  std::uint64_t highestFenceSeen = 0;
  double nextRequestInMs = 0;
  double validForMs = 0;
  double withoutProgressMs = 0;
  bool awaitingResponse = false;
  bool resigned = false;
  bool cannotBeginStep = false;
  std::array<PendingRequest, 2> pending;
};

/// Not thread-safe. All times are milliseconds of the process's monotonic clock.
class Lease {
 public:
  struct Counts {
    std::uint64_t acquired = 0;
    std::uint64_t renewed = 0;
    std::uint64_t lost = 0;
    std::uint64_t steppedDown = 0;  ///< Releases for lack of progress.
    std::uint64_t released = 0;
    std::uint64_t rolledBack = 0;  ///< Responses with a fence below the highest one seen.
    double doubtfulMs = 0;
  };

  Lease(LeaseConfig config,
        Holder holder,
        std::uint64_t seed,
        double nowMs,
        LeaseGuards guards = {});

  /// Returns the request to send, if any. Must be called no later than at nextMs().
  std::optional<LeaseRequest> tick(double nowMs);
  /// Handles a response of the store. Late and duplicate responses are recognized.
  void onResponse(const LeaseResponse& response, double nowMs);
  /// The time at which tick() has work to do; HUGE_VAL if none is scheduled.
  double nextMs() const;

  /// Returns the fence for a step of up to maxStepMs that begins now; nothing if no step may begin.
  /// A release is delayed until endStep() is called.
  std::optional<Fence> beginStep(double nowMs);
  void endStep(bool progress, double nowMs);
  /// Reports that the task has nothing to do, which counts as progress.
  void markIdle(double nowMs) { progressAtMs_ = nowMs; }
  /// Reports that the store refused the step's writes because of its fence: another router holds
  /// the lease, or the store was restored from an older state.
  void onFenceRefused(double nowMs);

  /// Releases the lease after the step in progress, and does not compete for it until rejoin().
  void resign(double nowMs);
  void rejoin(double nowMs);
  void setCandidateCount(std::size_t count) {
    config_.candidates = std::max<std::size_t>(1, count);
  }

  LeaseState state() const { return state_; }
  bool withinValidity(double nowMs) const { return holds() && nowMs < validUntilMs_; }
  bool resigned() const { return resigned_; }
  /// The lease is not held, and no release is in progress.
  bool fullyReleased() const { return !holds() && state_ != LeaseState::kReleasing; }
  std::uint64_t fence() const { return fence_; }
  std::uint64_t highestFenceSeen() const { return highestFenceSeen_; }
  double stateSinceMs() const { return stateSinceMs_; }
  double validUntilMs() const { return validUntilMs_; }
  double nextRenewalMs() const { return nextRequestMs_; }
  /// Why the current state was entered, for logs and reports.
  const std::string& reason() const { return reason_; }
  /// The lease's record as last reported by the store.
  const std::optional<LeaseRecord>& lastRecord() const { return lastRecord_; }
  const Counts& counts() const { return counts_; }
  const LeaseConfig& config() const { return config_; }
  const Holder& holder() const { return holder_; }
  LeaseFingerprint fingerprint(double nowMs) const;

 private:
  struct PendingRequest {
    std::uint64_t number = 0;  // 0: none
    LeaseOperation operation = LeaseOperation::kAcquire;
    double sentMs = 0;
  };

  bool holds() const { return state_ == LeaseState::kHolding || state_ == LeaseState::kDoubtful; }
  bool mustRelease() const { return (resigned_ || steppingDown_) && !stepping_; }
  void enter(LeaseState state, double nowMs, std::string reason);
  void backOff(double nowMs, double delayMs, std::string reason);
  LeaseRequest makeRequest(LeaseOperation operation, double nowMs);
  std::optional<PendingRequest> removePending(std::uint64_t number);
  void updateRecord(const LeaseResponse& response);
  void onAcquireResponse(const PendingRequest& request,
                         const LeaseResponse& response,
                         double nowMs);
  void onGranted(const PendingRequest& request, const LeaseResponse& response, double nowMs);
  void onRenewResponse(const PendingRequest& request, const LeaseResponse& response, double nowMs);
  void onReleaseResponse(double nowMs);
  std::optional<LeaseRequest> tickWhileHolding(double nowMs);
  void detectLackOfProgress(double nowMs);
  bool requestTimedOut(double nowMs) const;
  double validUntilAfter(const PendingRequest& request, double nowMs) const;
  double renewalTimeAfter(const PendingRequest& request);
  double randomBetween(double low, double high);
  double maxSpreadMs() const;

  LeaseConfig config_;
  Holder holder_;
  LeaseGuards guards_;
  std::minstd_rand random_;
  LeaseState state_ = LeaseState::kCandidate;
  std::uint64_t number_ = 0;  // of the latest request
  std::uint64_t fence_ = 0;
  std::uint64_t highestFenceSeen_ = 0;
  std::uint64_t progress_ = 0;  // completed steps
  // Candidate: time of the next acquire. Holding: of the next renewal. Backing off: end of the
  // delay.
  double nextRequestMs_ = 0;
  double validUntilMs_ = 0;
  double progressAtMs_ = 0;
  double stateSinceMs_ = 0;
  bool awaitingResponse_ = false;  // to the latest request
  bool resigned_ = false;
  bool stepping_ = false;
  bool steppingDown_ = false;
  // The latest first. A late response to the older one still proves what was granted then.
  std::array<PendingRequest, 2> pending_{};
  std::optional<LeaseRecord> lastRecord_;
  std::string reason_ = "started";
  Counts counts_;
};

}  // namespace inference_router::coordination
