#include "routing/attempt_dispatcher.h"

#include "routing/idempotency.h"
#include "routing/instance_availability.h"
#include "routing/retry_policy.h"

namespace inference_router::routing {
namespace {

// Maximum number of reservations requested for one request. Each takes only a small part of the
// prefill, during which they are made.
constexpr int kMaxReservations = 3;

}  // namespace

bool AttemptDispatcher::mayDispatch(const RequestRecord& request,
                                    Instance& instance,
                                    Time now) const {
  if (request.phase == Phase::kFinished || request.phase == Phase::kStreaming)
    return false;
  if (now >= request.deadline || request.hasAttemptInFlight())
    return false;
  if (!hasAttemptsLeft(settings_, request, 1))
    return false;
  const bool reserved =
      &instance == request.reservation && decodeSelector_.reservationUsable(request, now);
  if (!reserved && (!instance.isListed() || !slowStart_.admits(instance, now)))
    return false;
  return effectAllowsDispatch(classOf(settings_, request), request, instance, now);
}

bool AttemptDispatcher::dispatch(RequestRecord& request,
                                 Instance& instance,
                                 Phase next,
                                 EventContext& context) {
  const Time now = context.now();
  if (instance.role != Role::kPrefill)
    capacity_.reserve(request, instance);
  if (!mayDispatch(request, instance, now))
    return false;
  const bool prefills = next == Phase::kPrefilling ||
                        (instance.role == Role::kDecode && request.prefillInstance == nullptr);
  const double tokens = prefills ? estimates_.uncachedTokens(request, instance) : 0;
  instance.prefillTokens += tokens;
  const Time sendDeadline = repeatsAllowedUntil(classOf(settings_, request), request, now);
  request.attempts.push_back({&instance, now, instance.role != Role::kPrefill, tokens,
                              request.affinityInstance == &instance});
  request.phase = next;
  // For every role: a mixed instance whose attempt times out may still hold the KV cache.
  request.holdsRemoteState = true;
  InstanceAvailability::recordDispatch(instance, now);
  const Time timeoutAt = attemptTimeoutAt(settings_, request, instance, now);
  context.emit(DispatchAttempt{request.arrival.request, instance.endpoint.instance, timeoutAt,
                               sendDeadline});
  slowStart_.countAttempt(request, instance, now);
  return true;
}

void AttemptDispatcher::reserveDecode(RequestRecord& request, EventContext& context) {
  if (!settings_.reservationsAllowed)
    return;
  Instance* instance = decodeSelector_.choose(request, context.now());
  if (instance == nullptr)
    return;
  slowStart_.countReservation(*instance, context.now());
  capacity_.reserve(request, *instance);
  request.reservation = instance;
  request.reservedAt = context.now();
  request.holdsRemoteState = true;
  context.emit(ReserveDecode{request.arrival.request, instance->endpoint.instance});
}

void AttemptDispatcher::handleRejectedReservation(RequestRecord& request, EventContext& context) {
  capacity_.recordRejection(*request.reservation, context.now());
  request.reservation = nullptr;
  if (request.phase != Phase::kPrefilling)
    return;
  capacity_.free(request);
  ++request.reservationsRejected;
  if (request.reservationsRejected < kMaxReservations)
    reserveDecode(request, context);
}

void AttemptDispatcher::releaseState(RequestRecord& request, EventContext& context) {
  if (request.holdsRemoteState)
    context.emit(ReleaseState{request.arrival.request});
  request.holdsRemoteState = false;
  request.reservation = nullptr;
  request.prefillInstance = nullptr;
  capacity_.free(request);
}

void AttemptDispatcher::cancelAttempt(const RequestRecord& request, EventContext& context) const {
  if (settings_.limits.cancel && request.hasAttemptInFlight())
    context.emit(CancelAttempt{request.arrival.request, request.lastAttemptNumber()});
}

}  // namespace inference_router::routing
