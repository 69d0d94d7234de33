#include "routing/request_lifecycle.h"

#include <optional>

#include "routing/duration_math.h"
#include "routing/idempotency.h"

namespace inference_router::routing {
namespace {

// Maximum time that a KV cache waits for a decode instance, as a share of the time after which the
// prefill instance releases it.
constexpr double kMaxKvCacheWaitShare = 0.6;
// Delay after which a client is advised to retry, as a share of the longest that clients honour.
constexpr double kRetryAfterShare = 0.1;

// Whether the attempt was sent over an established connection.
bool wasSent(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kConnectFailed && outcome != AttemptOutcome::kNotSent;
}

}  // namespace

void RequestLifecycle::checkAdmission(RequestRecord& request, EventContext& context) {
  if (components_.shedder.exceedsMemory(request) ||
      components_.shedder.cannotMeetDeadline(request, context.now()))
    finish(request, context);
}

void RequestLifecycle::advance(RequestRecord& request, EventContext& context) {
  const Time now = context.now();
  if (components_.shedder.cannotMeetDeadline(request, now)) {
    finish(request, context);
    return;
  }
  if (request.phase == Phase::kPrefilled) {
    startDecode(request, context);
    const Duration maxWait =
        scaled(components_.settings.contract.releaseLimit, kMaxKvCacheWaitShare);
    if (request.phase != Phase::kPrefilled || now - request.prefilledAt < maxWait)
      return;
    components_.dispatcher.releaseState(request, context);
    request.phase = Phase::kWaiting;
    if (!hasAttemptsLeft(components_.settings, request, kAttemptsFromStart)) {
      finish(request, context);
      return;
    }
  }
  if (components_.shedder.cannotMeetObjective(request, now)) {
    finish(request, context);
    return;
  }
  if (!components_.capacity.allFull(now))
    startPrefill(request, context);
}

void RequestLifecycle::startPrefill(RequestRecord& request, EventContext& context) {
  const Time now = context.now();
  Instance* instance = components_.prefillSelector.choose(request, now);
  const bool tooLate =
      instance != nullptr && components_.shedder.missesLatencyObjective(request, *instance, now);
  const bool tryDecodeInstance =
      tooLate || components_.decodePrefillSelector.isPreferable(request, instance, now);
  if (tryDecodeInstance && prefillAtDecodeInstance(request, context))
    return;
  if (instance == nullptr)
    return;
  if (tooLate || components_.shedder.isThrottled(request, now)) {
    finish(request, context);
    return;
  }
  components_.dispatcher.releaseState(request, context);
  request.prefillInstance = instance;
  const Phase next = instance->role == Role::kMixed ? Phase::kDecoding : Phase::kPrefilling;
  if (!components_.dispatcher.dispatch(request, *instance, next, context))
    return;
  if (instance->role == Role::kPrefill)
    components_.dispatcher.reserveDecode(request, context);
}

bool RequestLifecycle::prefillAtDecodeInstance(RequestRecord& request, EventContext& context) {
  Instance* instance = components_.decodePrefillSelector.choose(request, context.now());
  if (instance == nullptr)
    return false;
  components_.dispatcher.releaseState(request, context);
  components_.dispatcher.dispatch(request, *instance, Phase::kDecoding, context);
  components_.decodePrefillSelector.countDispatch(request, context.now());
  return true;
}

// If no instance is eligible, the request stays in phase kPrefilled and advance() tries again.
void RequestLifecycle::startDecode(RequestRecord& request, EventContext& context) {
  const Time now = context.now();
  request.phase = Phase::kPrefilled;
  Instance* instance = components_.decodeSelector.reservationUsable(request, now)
                           ? request.reservation
                           : components_.decodeSelector.choose(request, now);
  if (instance != nullptr)
    components_.dispatcher.dispatch(request, *instance, Phase::kDecoding, context);
}

void RequestLifecycle::applyOutcome(RequestRecord& request,
                                    Instance& instance,
                                    const AttemptEnded& ended,
                                    EventContext& context) {
  const Time now = context.now();
  if (request.phase == Phase::kFinished || ended.concluded) {
    // A release has no effect on state that an attempt in flight still creates or fetches, so each
    // late outcome emits another release.
    request.holdsRemoteState = !request.firstTokenAt;
    close(request, context);
    return;
  }
  // An attempt that was not sent does not restart the release time limit of the KV cache.
  if (wasSent(ended.outcome))
    request.prefilledAt = now;
  if (ended.outcome == AttemptOutcome::kPrefilled) {
    request.prefillInstance = &instance;
    startDecode(request, context);
    return;
  }
  if (now >= request.deadline) {
    finish(request, context);
    return;
  }
  retry(request, instance, kvCacheUsable(request, instance, ended, now), context);
}

// Whether the KV cache still exists after a failed decode attempt and will not be released before
// the next attempt can have connected.
bool RequestLifecycle::kvCacheUsable(const RequestRecord& request,
                                     const Instance& instance,
                                     const AttemptEnded& ended,
                                     Time now) const {
  const bool decodedElsewhere = request.phase == Phase::kDecoding &&
                                instance.role == Role::kDecode &&
                                request.prefillInstance != nullptr;
  if (!decodedElsewhere || ended.kvCacheLost)
    return false;
  const Time connectedBy = now + components_.settings.limits.connectTimeout;
  return wasSent(ended.outcome) ||
         connectedBy - request.prefilledAt < components_.settings.contract.releaseLimit;
}

// Retries at another instance if the attempt limit, the remaining time, the retry budget and the
// effect of the class allow it.
void RequestLifecycle::retry(RequestRecord& request,
                             const Instance& failed,
                             bool kvCacheUsable,
                             EventContext& context) {
  const Time now = context.now();
  request.excludedInstances.insert(failed.endpoint.instance);
  const int attemptsNeeded = kvCacheUsable ? kAttemptsFromKvCache : kAttemptsFromStart;
  const ClassSettings& cls = classOf(components_.settings, request);
  const bool allowed = hasAttemptsLeft(components_.settings, request, attemptsNeeded) &&
                       components_.retryBudget.isAvailable() &&
                       !components_.shedder.cannotMeetDeadline(request, now) &&
                       now < repeatsAllowedUntil(cls, request, now);
  if (!allowed) {
    finish(request, context);
    return;
  }
  components_.retryBudget.spend();
  if (kvCacheUsable) {
    components_.dispatcher.freeCapacity(request);
    startDecode(request, context);
    return;
  }
  components_.dispatcher.releaseState(request, context);
  request.phase = Phase::kWaiting;
  startPrefill(request, context);
}

void RequestLifecycle::finish(RequestRecord& request, EventContext& context) {
  if (request.phase == Phase::kFinished)
    return;
  components_.dispatcher.cancelAttempt(request, context);
  // Before the answer: a rejection implies that no instance is working on the request.
  components_.dispatcher.releaseState(request, context);
  const RequestId& id = request.arrival.request;
  const Limits& limits = components_.settings.limits;
  if (mayReject(classOf(components_.settings, request), request, context.now())) {
    std::optional<Duration> retryAfter;
    if (limits.retryAfter)
      retryAfter = scaled(limits.maxRetryAfter, kRetryAfterShare);
    context.emit(RejectRequest{id, retryAfter});
  } else {
    context.emit(FailRequest{id});
  }
  close(request, context);
}

void RequestLifecycle::close(RequestRecord& request, EventContext& context) {
  request.phase = Phase::kFinished;
  components_.dispatcher.releaseState(request, context);
}

}  // namespace inference_router::routing
