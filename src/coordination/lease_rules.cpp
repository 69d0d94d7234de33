#include "coordination/lease_rules.h"

#include <algorithm>

namespace inference_router::coordination {

namespace {

LeaseResponse respond(const LeaseCell& cell,
                      const LeaseRequest& request,
                      LeaseResult result,
                      double storeNowMs) {
  const bool held = cell.record.has_value();
  LeaseResponse response;
  response.number = request.number;
  response.result = result;
  response.fence = held || result == LeaseResult::kGranted ? cell.fence : 0;
  response.remainingMs = held ? std::max(0.0, cell.untilMs - storeNowMs) : 0;
  response.record = cell.record;
  return response;
}

LeaseResponse acquire(LeaseCell& cell,
                      const LeaseRequest& request,
                      double storeNowMs,
                      double unixMs) {
  const bool live = cell.record && storeNowMs < cell.untilMs;
  if (live && cell.record->holder != request.holder)
    return respond(cell, request, LeaseResult::kHeld, storeNowMs);
  // A duplicate of an executed request, or a request overtaken by a later one, must neither acquire
  // a lease that its process no longer wants nor raise the fence while the holder acts under it.
  if (cell.last == request.holder && request.number <= cell.lastNumber) {
    const bool duplicate = request.number == cell.lastNumber && live;
    return respond(cell, request, duplicate ? LeaseResult::kGranted : LeaseResult::kLost,
                   storeNowMs);
  }
  cell.fence = std::max(cell.fence, request.fence) + 1;
  cell.last = request.holder;
  cell.lastNumber = request.number;
  cell.record = LeaseRecord{request.holder, cell.fence, request.number, request.progress, unixMs};
  cell.untilMs = storeNowMs + request.ttlMs;
  return respond(cell, request, LeaseResult::kGranted, storeNowMs);
}

}  // namespace

LeaseResponse decide(LeaseCell& cell,
                     const LeaseRequest& request,
                     double storeNowMs,
                     double unixMs) {
  if (request.operation == LeaseOperation::kAcquire)
    return acquire(cell, request, storeNowMs, unixMs);
  const bool own =
      cell.record && cell.record->holder == request.holder && cell.record->fence == request.fence;
  if (!own)
    return respond(cell, request, LeaseResult::kLost, storeNowMs);
  if (request.operation == LeaseOperation::kRelease) {
    cell.record.reset();
    return respond(cell, request, LeaseResult::kReleased, storeNowMs);
  }
  // An expired lease is lost even if nobody else has acquired it: by its own clock the holder has
  // stopped acting already.
  if (storeNowMs >= cell.untilMs)
    return respond(cell, request, LeaseResult::kLost, storeNowMs);
  cell.untilMs = storeNowMs + request.ttlMs;
  cell.record->progress = request.progress;
  return respond(cell, request, LeaseResult::kGranted, storeNowMs);
}

bool accepts(const LeaseCell& cell, const Holder& holder, std::uint64_t fence) {
  return cell.record && cell.fence == fence && cell.record->fence == fence &&
         cell.record->holder == holder;
}

}  // namespace inference_router::coordination
