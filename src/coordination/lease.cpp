#include "coordination/lease.h"

#include <cmath>
#include <utility>

namespace inference_router::coordination {

namespace {

// Share of the validity between attempts to renew while the previous ones have failed.
constexpr double kRetryShare = 0.1;
// A holder that stepped down does not compete for this many lease durations.
constexpr double kStepDownDelayFactor = 3;

using S = LeaseState;

}  // namespace

Lease::Lease(LeaseConfig config,
             Holder holder,
             std::uint64_t seed,
             double nowMs,
             LeaseGuards guards)
    : config_(std::move(config)),
      holder_(std::move(holder)),
      guards_(guards),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))),
      stateSinceMs_(nowMs) {
  // Routers that restart together must not all send their requests at once.
  nextRequestMs_ = nowMs + randomBetween(0, maxSpreadMs());
}

double Lease::randomBetween(double low, double high) {
  return high > low ? std::uniform_real_distribution<>(low, high)(random_) : low;
}

double Lease::maxSpreadMs() const {
  return config_.spreadMs * static_cast<double>(config_.candidates - 1);
}

void Lease::enter(LeaseState state, double nowMs, std::string reason) {
  if (state_ == S::kDoubtful)
    counts_.doubtfulMs += nowMs - stateSinceMs_;
  state_ = state;
  stateSinceMs_ = nowMs;
  reason_ = std::move(reason);
}

void Lease::backOff(double nowMs, double delayMs, std::string reason) {
  awaitingResponse_ = false;
  stepping_ = false;
  fence_ = 0;
  enter(S::kBackingOff, nowMs, std::move(reason));
  nextRequestMs_ = nowMs + delayMs + randomBetween(0, maxSpreadMs());
}

// ---- Requests

LeaseRequest Lease::makeRequest(LeaseOperation operation, double nowMs) {
  pending_[1] = pending_[0];
  pending_[0] = {++number_, operation, nowMs};
  awaitingResponse_ = true;
  LeaseRequest request;
  request.operation = operation;
  request.task = config_.task;
  request.holder = holder_;
  request.number = number_;
  request.fence = operation == LeaseOperation::kAcquire ? highestFenceSeen_ : fence_;
  request.ttlMs = config_.ttlMs;
  request.progress = progress_;
  return request;
}

bool Lease::requestTimedOut(double nowMs) const {
  return awaitingResponse_ && nowMs - pending_[0].sentMs >= config_.requestTimeoutMs;
}

std::optional<LeaseRequest> Lease::tick(double nowMs) {
  switch (state_) {
    case S::kBackingOff:
      if (nowMs < nextRequestMs_)
        return std::nullopt;
      enter(S::kCandidate, nowMs, "waited");
      [[fallthrough]];
    case S::kCandidate:
      if (resigned_ || nowMs < nextRequestMs_)
        return std::nullopt;
      enter(S::kAcquiring, nowMs, "its turn to ask");
      return makeRequest(LeaseOperation::kAcquire, nowMs);
    case S::kAcquiring:
      // The lease may have been granted nevertheless; the next acquire of this process then obtains
      // it with a higher fence.
      if (requestTimedOut(nowMs))
        backOff(nowMs, config_.requestTimeoutMs, "the store did not answer");
      return std::nullopt;
    case S::kHolding:
    case S::kDoubtful:
      return tickWhileHolding(nowMs);
    case S::kExpired:
      backOff(nowMs, config_.requestTimeoutMs, reason_);
      return std::nullopt;
    case S::kReleasing:
      // If the release was lost, the lease expires at the store and its next holder waits longer.
      if (requestTimedOut(nowMs))
        backOff(nowMs, config_.ttlMs, "released, not confirmed");
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<LeaseRequest> Lease::tickWhileHolding(double nowMs) {
  if (nowMs >= validUntilMs_) {
    ++counts_.lost;
    enter(S::kExpired, nowMs, "could not be renewed in time");
    return std::nullopt;
  }
  detectLackOfProgress(nowMs);
  if (mustRelease()) {
    enter(S::kReleasing, nowMs, resigned_ ? "resigned" : "gave way: no progress");
    return makeRequest(LeaseOperation::kRelease, nowMs);
  }
  if (requestTimedOut(nowMs)) {
    awaitingResponse_ = false;
    if (state_ == S::kHolding)
      enter(S::kDoubtful, nowMs, "a renewal is not answered");
  }
  if (awaitingResponse_ || nowMs < nextRequestMs_)
    return std::nullopt;
  nextRequestMs_ = nowMs + validityMs(config_) * kRetryShare;
  return makeRequest(LeaseOperation::kRenew, nowMs);
}

void Lease::detectLackOfProgress(double nowMs) {
  if (stepping_ || resigned_ || nowMs - progressAtMs_ < config_.progressTimeoutMs)
    return;
  ++counts_.steppedDown;
  steppingDown_ = true;
}

double Lease::nextMs() const {
  const double timeoutMs =
      awaitingResponse_ ? pending_[0].sentMs + config_.requestTimeoutMs : HUGE_VAL;
  switch (state_) {
    case S::kCandidate:
      return resigned_ ? HUGE_VAL : nextRequestMs_;
    case S::kBackingOff:
      return nextRequestMs_;
    case S::kAcquiring:
    case S::kReleasing:
      return timeoutMs;
    case S::kExpired:
      return stateSinceMs_;
    case S::kHolding:
    case S::kDoubtful:
      if (mustRelease())
        return stateSinceMs_;
      return std::min(
          {validUntilMs_, awaitingResponse_ ? timeoutMs : nextRequestMs_,
           stepping_ || resigned_ ? HUGE_VAL : progressAtMs_ + config_.progressTimeoutMs});
  }
  return HUGE_VAL;
}

// ---- Responses

void Lease::onResponse(const LeaseResponse& response, double nowMs) {
  const auto request = removePending(response.number);
  if (!request)
    return;
  const bool latest = request->number == number_;
  if (latest)
    awaitingResponse_ = false;
  updateRecord(response);
  switch (request->operation) {
    case LeaseOperation::kAcquire:
      if (latest)
        onAcquireResponse(*request, response, nowMs);
      break;
    case LeaseOperation::kRenew:
      onRenewResponse(*request, response, nowMs);
      break;
    case LeaseOperation::kRelease:
      onReleaseResponse(nowMs);
      break;
  }
}

/// Returns nothing if the request was answered before, or is no longer among the pending ones.
std::optional<Lease::PendingRequest> Lease::removePending(std::uint64_t number) {
  const auto found =
      std::find_if(pending_.begin(), pending_.end(), [number](const PendingRequest& request) {
        return request.number != 0 && request.number == number;
      });
  if (found == pending_.end())
    return std::nullopt;
  return std::exchange(*found, PendingRequest{});
}

void Lease::updateRecord(const LeaseResponse& response) {
  if (response.record)
    lastRecord_ = response.record;
  else if (response.result == LeaseResult::kReleased || response.result == LeaseResult::kLost)
    lastRecord_.reset();
  if (response.fence != 0 && response.fence < highestFenceSeen_)
    ++counts_.rolledBack;
}

void Lease::onAcquireResponse(const PendingRequest& request,
                              const LeaseResponse& response,
                              double nowMs) {
  if (state_ != S::kAcquiring)
    return;
  if (response.result == LeaseResult::kHeld) {
    highestFenceSeen_ = std::max(highestFenceSeen_, response.fence);
    enter(S::kCandidate, nowMs, "held by another");
    nextRequestMs_ = nowMs + std::clamp(response.remainingMs, 0.0, config_.ttlMs) +
                     randomBetween(0, maxSpreadMs());
    return;
  }
  if (response.result != LeaseResult::kGranted)
    return backOff(nowMs, config_.requestTimeoutMs, "the store cannot be used");
  // A store that lost fences could grant the same fence to two routers.
  if (response.fence <= highestFenceSeen_)
    return backOff(nowMs, config_.ttlMs, "the fence would go down");
  onGranted(request, response, nowMs);
}

void Lease::onGranted(const PendingRequest& request, const LeaseResponse& response, double nowMs) {
  fence_ = response.fence;
  highestFenceSeen_ = response.fence;
  ++counts_.acquired;
  progressAtMs_ = nowMs;
  validUntilMs_ = validUntilAfter(request, nowMs);
  if (nowMs >= validUntilMs_)
    return enter(S::kExpired, nowMs, "granted too late");
  enter(S::kHolding, nowMs, "acquired");
  nextRequestMs_ = renewalTimeAfter(request);
}

void Lease::onRenewResponse(const PendingRequest& request,
                            const LeaseResponse& response,
                            double nowMs) {
  if (!holds())
    return;
  if (response.result == LeaseResult::kLost || response.result == LeaseResult::kHeld) {
    highestFenceSeen_ = std::max(highestFenceSeen_, response.fence);
    ++counts_.lost;
    return enter(S::kExpired, nowMs, "the store says that it is lost");
  }
  if (response.result != LeaseResult::kGranted || response.fence != fence_) {
    if (state_ == S::kHolding)
      enter(S::kDoubtful, nowMs, "the store cannot be reached");
    return;
  }
  ++counts_.renewed;
  validUntilMs_ = std::max(validUntilMs_, validUntilAfter(request, nowMs));
  if (nowMs >= validUntilMs_)
    return;  // the next tick() marks the lease as expired
  // After a late response the renewal time may have passed already: tick() renews at once.
  nextRequestMs_ = renewalTimeAfter(request);
  if (state_ == S::kDoubtful && nowMs < nextRequestMs_)
    enter(S::kHolding, nowMs, "renewed");
}

void Lease::onReleaseResponse(double nowMs) {
  if (state_ != S::kReleasing)
    return;
  ++counts_.released;
  // Gives the waiting candidates priority over the previous holder.
  const double delayMs = steppingDown_ ? config_.ttlMs * kStepDownDelayFactor : config_.ttlMs;
  backOff(nowMs, delayMs, reason_);
  steppingDown_ = false;
}

double Lease::validUntilAfter(const PendingRequest& request, double nowMs) const {
  const double fromMs = guards_.validFromRequest ? request.sentMs : nowMs;
  return fromMs + (guards_.driftMargin ? validityMs(config_) : config_.ttlMs);
}

double Lease::renewalTimeAfter(const PendingRequest& request) {
  const double jitter = randomBetween(1 - config_.renewJitter, 1 + config_.renewJitter);
  return request.sentMs + validityMs(config_) * kRenewalShare * jitter;
}

// ---- Steps and resignation

std::optional<Fence> Lease::beginStep(double nowMs) {
  if (!withinValidity(nowMs) || stepping_ || resigned_ || steppingDown_)
    return std::nullopt;
  if (nowMs + config_.maxStepMs > validUntilMs_)
    return std::nullopt;
  stepping_ = true;
  return Fence(config_.task, holder_, fence_);
}

void Lease::endStep(bool progress, double nowMs) {
  stepping_ = false;
  if (!progress)
    return;
  ++progress_;
  progressAtMs_ = nowMs;
}

void Lease::onFenceRefused(double nowMs) {
  stepping_ = false;
  if (!holds())
    return;
  ++counts_.lost;
  enter(S::kExpired, nowMs, "an effect was refused for its fence");
}

void Lease::resign(double nowMs) {
  resigned_ = true;
  // A lease that the pending acquire still obtains is not released; it expires at the store.
  if (state_ == S::kAcquiring)
    backOff(nowMs, 0, "resigned");
}

void Lease::rejoin(double nowMs) {
  resigned_ = false;
  if (state_ == S::kCandidate)
    nextRequestMs_ = std::max(nextRequestMs_, nowMs + randomBetween(0, maxSpreadMs()));
}

LeaseFingerprint Lease::fingerprint(double nowMs) const {
  const auto remaining = [nowMs](double atMs) {
    return atMs == HUGE_VAL ? atMs : std::max(-1.0, atMs - nowMs);
  };
  LeaseFingerprint result;
  result.state = state_;
  result.number = number_;
  result.fence = fence_;
  result.highestFenceSeen = highestFenceSeen_;
  result.nextRequestInMs = remaining(nextRequestMs_);
  result.validForMs = holds() ? remaining(validUntilMs_) : 0;
  result.withoutProgressMs = holds() ? nowMs - progressAtMs_ : 0;
  result.awaitingResponse = awaitingResponse_;
  result.resigned = resigned_;
  result.cannotBeginStep = stepping_ || steppingDown_;
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    const PendingRequest& request = pending_[i];
    const double ageMs = request.number == 0 ? 0.0 : nowMs - request.sentMs;
    result.pending[i] = {request.number, request.operation, ageMs};
  }
  return result;
}

}  // namespace inference_router::coordination
