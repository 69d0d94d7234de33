/// A lease on a task that one router does for the whole fleet, as one candidate sees it.
///
/// A state machine without I/O: it is told the time and the store's responses, and returns the next
/// request. Time alone proves nothing: whoever acts carries a fence, and the store refuses an
/// effect whose fence is not the newest.
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

/// Proof that its bearer held the lease when it was checked. Only a Lease creates one, so an effect
/// on the fleet cannot be committed without holding the lease.
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

/// Safety measures that tests switch off one by one, to see that they find what each prevents.
struct LeaseGuards {
  /// Shortens the validity by the drift of both clocks.
  bool driftMargin = true;
  /// Counts the validity from before the request was sent, not from its response.
  bool validFromRequest = true;
};

/// All that decides how a Lease goes on, with times relative to now: two leases with equal
/// fingerprints behave alike. For tests that search through states.
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

/// Not thread-safe. All times are the process's monotonic clock in milliseconds.
class Lease {
 public:
  struct Counts {
    std::uint64_t acquired = 0;
    std::uint64_t renewed = 0;
    std::uint64_t lost = 0;
    std::uint64_t steppedDown = 0;  ///< Released for lack of progress.
    std::uint64_t released = 0;
    std::uint64_t rolledBack = 0;  ///< Responses with a fence below one that was seen before.
    double doubtfulMs = 0;
  };

  Lease(LeaseConfig config,
        Holder holder,
        std::uint64_t seed,
        double nowMs,
        LeaseGuards guards = {});

  /// To be called at least whenever nextMs() has come; returns the request to send, if any.
  std::optional<LeaseRequest> tick(double nowMs);
  /// A response of the store; late ones and repeats are recognized.
  void onResponse(const LeaseResponse& response, double nowMs);
  /// When tick() has something to do; HUGE_VAL if only an event can change that.
  double nextMs() const;

  /// Permission for a step of up to maxStepMs that begins now; nothing if it may not begin. A
  /// release waits for the endStep() of a step under way.
  std::optional<Fence> beginStep(double nowMs);
  void endStep(bool progress, double nowMs);
  /// The task has nothing to do, which counts as progress.
  void markIdle(double nowMs) { progressAtMs_ = nowMs; }
  /// The store refused the step's effect for its fence: another router holds the lease, or the
  /// store was restored from an older state.
  void onFenceRefused(double nowMs);

  /// Releases the lease in order, and does not compete for it until rejoin().
  void resign(double nowMs);
  void rejoin(double nowMs);
  void setCandidateCount(std::size_t count) {
    config_.candidates = std::max<std::size_t>(1, count);
  }

  LeaseState state() const { return state_; }
  bool withinValidity(double nowMs) const { return holds() && nowMs < validUntilMs_; }
  bool resigned() const { return resigned_; }
  /// Nothing is held, and no release is under way.
  bool fullyReleased() const { return !holds() && state_ != LeaseState::kReleasing; }
  std::uint64_t fence() const { return fence_; }
  std::uint64_t highestFenceSeen() const { return highestFenceSeen_; }
  double stateSinceMs() const { return stateSinceMs_; }
  double validUntilMs() const { return validUntilMs_; }
  double nextRenewalMs() const { return nextRequestMs_; }
  /// Why the present state was entered, for logs and reports.
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
  void backOff(double nowMs, double pauseMs, std::string reason);
  LeaseRequest makeRequest(LeaseOperation operation, double nowMs);
  std::optional<PendingRequest> takePending(std::uint64_t number);
  void noteRecord(const LeaseResponse& response);
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
  // Candidate: to acquire. Holding: to renew. Backing off: to be a candidate.
  double nextRequestMs_ = 0;
  double validUntilMs_ = 0;
  double progressAtMs_ = 0;
  double stateSinceMs_ = 0;
  bool awaitingResponse_ = false;  // to the latest request
  bool resigned_ = false;
  bool stepping_ = false;
  bool steppingDown_ = false;
  // The latest first. A late response still says what was true when it was requested.
  std::array<PendingRequest, 2> pending_{};
  std::optional<LeaseRecord> lastRecord_;
  std::string reason_ = "started";
  Counts counts_;
};

}  // namespace inference_router::coordination
