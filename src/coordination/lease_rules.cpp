#include "coordination/lease_rules.h"

#include <algorithm>

namespace inference_router::coordination {

namespace {

LeaseAnswer answerOf(const LeaseCell& cell, const LeaseAsk& ask, Found found, double storeNowMs) {
  const bool held = cell.record.has_value();
  return {ask.number, found, held || found == Found::kGranted ? cell.fence : 0,
          held ? std::max(0.0, cell.untilMs - storeNowMs) : 0, cell.record};
}

LeaseAnswer acquire(LeaseCell& cell, const LeaseAsk& ask, double storeNowMs, double unixMs) {
  const bool live = cell.record && storeNowMs < cell.untilMs;
  if (live && cell.record->holder != ask.who)
    return answerOf(cell, ask, Found::kHeld, storeNowMs);
  // A repeat of an ask that was carried out, or one that a later overtook, must not take a lease
  // that its process asks for no more, nor move the fence under a holder that acts.
  if (cell.last == ask.who && ask.number <= cell.lastNumber) {
    const bool same = ask.number == cell.lastNumber && live;
    return answerOf(cell, ask, same ? Found::kGranted : Found::kLost, storeNowMs);
  }
  cell.fence = std::max(cell.fence, ask.fence) + 1;
  cell.last = ask.who;
  cell.lastNumber = ask.number;
  cell.record = LeaseRecord{ask.who, cell.fence, ask.number, ask.progress, unixMs};
  cell.untilMs = storeNowMs + ask.ttlMs;
  return answerOf(cell, ask, Found::kGranted, storeNowMs);
}

}  // namespace

LeaseAnswer decide(LeaseCell& cell, const LeaseAsk& ask, double storeNowMs, double unixMs) {
  if (ask.verb == Verb::kAcquire)
    return acquire(cell, ask, storeNowMs, unixMs);
  const bool own = cell.record && cell.record->holder == ask.who && cell.record->fence == ask.fence;
  if (!own)
    return answerOf(cell, ask, Found::kLost, storeNowMs);
  if (ask.verb == Verb::kRelease) {
    cell.record.reset();
    return answerOf(cell, ask, Found::kReleased, storeNowMs);
  }
  // Lapsed is lost, also where nobody has taken it since: its holder has stopped by its own clock
  // long ago.
  if (storeNowMs >= cell.untilMs)
    return answerOf(cell, ask, Found::kLost, storeNowMs);
  cell.untilMs = storeNowMs + ask.ttlMs;
  cell.record->progress = ask.progress;
  return answerOf(cell, ask, Found::kGranted, storeNowMs);
}

bool accepts(const LeaseCell& cell, const Holder& who, std::uint64_t fence) {
  return cell.record && cell.fence == fence && cell.record->fence == fence &&
         cell.record->holder == who;
}

}  // namespace inference_router::coordination
