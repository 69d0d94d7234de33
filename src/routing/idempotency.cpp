#include "routing/idempotency.h"

namespace inference_router::routing {
namespace {

bool inSameDedupScope(const EndpointRecord& first, const EndpointRecord& second, DedupScope scope) {
  switch (scope) {
    case DedupScope::kAll:
      return true;
    case DedupScope::kZone:
      return first.zone == second.zone;
    case DedupScope::kCell:
      return first.cell == second.cell;
  }
  return false;
}

}  // namespace

Time repeatsAllowedUntil(const ClassSettings& cls, const RequestRecord& request, Time now) {
  const AttemptRecord* executed = request.possiblyExecutedAttempt();
  if (executed == nullptr || cls.effect == Effect::kIdempotent)
    return Time::max();
  return cls.effect == Effect::kDeduplicated ? executed->sentAt + cls.dedupWindow : now;
}

bool effectAllowsDispatch(const ClassSettings& cls,
                          const RequestRecord& request,
                          const Instance& instance,
                          Time now) {
  if (now >= repeatsAllowedUntil(cls, request, now))
    return false;
  if (cls.effect != Effect::kDeduplicated)
    return true;
  const AttemptRecord* executed = request.possiblyExecutedAttempt();
  return executed == nullptr ||
         inSameDedupScope(executed->instance->endpoint, instance.endpoint, cls.dedupScope);
}

bool mayReject(const ClassSettings& cls, const RequestRecord& request, Time now) {
  const bool deduplicatedEverywhere =
      cls.effect == Effect::kDeduplicated && cls.dedupScope == DedupScope::kAll;
  return deduplicatedEverywhere || repeatsAllowedUntil(cls, request, now) == Time::max();
}

}  // namespace inference_router::routing
