#include "upstream/attempt_call.h"

#include <algorithm>
#include <utility>

namespace inference_router::upstream {

using routing::AttemptOutcome;
using routing::InstanceId;

namespace {

constexpr double kTransmissionMs = 75;      // until the instance has read what was written
constexpr double kLastChunkLimitMs = 1000;  // from the last event of a stream to its last chunk
// Time without an event after which a stream counts as stalled. Clients may be left waiting for at
// most 5 s; slow instances send an event every few seconds at worst.
constexpr double kStallLimitMs = 4200;
constexpr int kMinPartsOfStream = 2;  // a single part may be an answer that is not a stream

constexpr std::size_t kSmallEventBytes = std::size_t{4} * 1024;

constexpr unsigned kServedStatus = 200;
constexpr unsigned kPrefilledStatus = 202;
constexpr unsigned kCacheLostStatus = 410;
constexpr unsigned kUnavailableStatus = 503;
constexpr unsigned kExpiredStatus = 504;

AttemptOutcome outcomeOf(net::CallFailure why) {
  switch (why) {
    case net::CallFailure::kNoConnection:
      return AttemptOutcome::kConnectFailed;
    case net::CallFailure::kReset:
      return AttemptOutcome::kConnectionLost;
    case net::CallFailure::kInvalidResponse:
      return AttemptOutcome::kError;
    case net::CallFailure::kWithdrawn:
      break;
  }
  return AttemptOutcome::kNotSent;
}

}  // namespace

HttpInstanceClient::AttemptCall::AttemptCall(HttpInstanceClient& client,
                                             const core::Dispatch& dispatch)
    : client_(client),
      key_(dispatch.attempt),
      request_(dispatch.request),
      instance_(dispatch.instance),
      memory_(client.dispatcher_.memory(), core::MemoryUse::kAnswers),
      deadlineMs_(dispatch.deadlineMs),
      lastAttemptEndedMs_(dispatch.lastAttemptEndedMs),
      isPrefill_(dispatch.isPrefill) {}

void HttpInstanceClient::AttemptCall::adopt(const std::string& incompleteEvent) {
  status_ = kServedStatus;
  streaming_ = true;
  writtenMs_ = nowMs();
  events_.push(incompleteEvent);
  limitPauses();
}

double HttpInstanceClient::AttemptCall::releaseAllowedFromMs() const {
  if (isPrefill_)
    return isWritten() ? writtenMs_ + client_.releaseLimitMs_ : 0;
  return isWritten() ? acceptedByMs() : HUGE_VAL;
}

void HttpInstanceClient::AttemptCall::reserveOnceWritten(const InstanceId& instance) {
  if (isWritten())
    client_.reservations_.reserve(request_, key_, instance);
  else
    reserveAt_ = instance;
}

// ---- Request

bool HttpInstanceClient::AttemptCall::ready() {
  return client_.dispatcher_.maySend(key_);
}

// Rounded down, so that the instance does not get more time than the client has left.
net::Fields HttpInstanceClient::AttemptCall::fieldsAsWritten() {
  const double leftMs = std::max(0.0, std::floor(deadlineMs_ - nowMs()));
  return {{client_.protocol_.budgetHeader, std::to_string(static_cast<long>(leftMs))}};
}

void HttpInstanceClient::AttemptCall::written() {
  writtenMs_ = nowMs();
  if (!isPrefill_)
    scheduleReleaseDuringAttempt();
  client_.dispatcher_.attemptWritten(key_);
  if (reserveAt_)
    client_.reservations_.reserve(request_, key_, *std::exchange(reserveAt_, std::nullopt));
}

// An attempt whose instance no longer reads the connection, or sends only one part that may not
// belong to a stream, may not have fetched the KV cache, which then stays held beyond its time
// limit. So it is released while the attempt is in flight. If the attempt did arrive, the release
// does not affect it.
void HttpInstanceClient::AttemptCall::scheduleReleaseDuringAttempt() {
  releaseTimer_ = client_.services_.timers.schedule(acceptedByMs(), [this] {
    if (partsWithEvents_ < kMinPartsOfStream)
      client_.releases_.releaseDuringAttempt(request_);
  });
}

// When the instance should have fetched what is held for the request. The time limit of the held
// state counts from the end of the last attempt, however late this one was written. The attempt
// still gets kTransmissionMs to arrive, as a release that overtook it would free its KV cache.
double HttpInstanceClient::AttemptCall::acceptedByMs() const {
  const double heldSinceMs = lastAttemptEndedMs_ > 0 ? lastAttemptEndedMs_ : writtenMs_;
  return std::max(heldSinceMs + client_.releaseLimitMs_, writtenMs_ + kTransmissionMs);
}

// ---- Response

void HttpInstanceClient::AttemptCall::head(const net::ResponseHead& head) {
  status_ = head.result_int();
  freshConnection_ = call_->isFirstOnConnection();
  rejected_ = head.find(client_.protocol_.rejectedHeader) != head.end();
  client_.services_.directory.recordAnswer(instance_, nowMs());
}

bool HttpInstanceClient::AttemptCall::body(std::string_view part) {
  usage_.push(part);
  if (status_ != kServedStatus)
    return true;
  const std::optional<std::string> events = events_.push(part);
  if (!chargeIncompleteEvent()) {
    ++client_.services_.counters["memory.refused_answers"];
    call_->failInvalidResponse();
    return true;
  }
  if (!events || (!events->empty() && !client_.dispatcher_.canRead(key_, *events))) {
    call_->failInvalidResponse();
    return true;
  }
  if (events_.finished() && !lastChunkTimer_.armed())
    limitLastChunk();
  streaming_ = streaming_ || !events->empty();
  limitPauses();
  if (events->empty())
    return true;  // an incomplete event is not passed on, so it does not count as progress
  ++partsWithEvents_;
  restartStallTimer();
  if (client_.dispatcher_.responseReceived(key_, *events))
    return true;
  stallTimer_.cancel();  // the client is slow, not the instance
  return false;
}

// The request pays for small events.
bool HttpInstanceClient::AttemptCall::chargeIncompleteEvent() {
  const std::size_t bytes = events_.incompleteEvent().size();
  return memory_.tryResize(bytes > kSmallEventBytes ? bytes : 0);
}

void HttpInstanceClient::AttemptCall::limitLastChunk() {
  lastChunkTimer_ = client_.services_.timers.schedule(nowMs() + kLastChunkLimitMs,
                                                      [this] { call_->failInvalidResponse(); });
}

// An instance that writes slowly pauses in the middle of a chunk. The limits of a stalled stream
// and of the attempt apply where a cut would lose the request. Elsewhere a chunk whose events are
// complete may have a wrong size, and another instance serves the rest sooner.
void HttpInstanceClient::AttemptCall::limitPauses() {
  const bool lostByCut = streaming_ ? !client_.dispatcher_.clientsResumeStreams()
                                    : client_.dispatcher_.isOnlyAttempt(key_);
  const bool writesSlowly = events_.isWithinEvent() || (streaming_ && !call_->isWithinChunk());
  call_->setPausesAllowed(streaming_ ? lostByCut || writesSlowly : lostByCut && writesSlowly);
}

// Ends the attempt if the instance stops sending in the middle of its response.
void HttpInstanceClient::AttemptCall::restartStallTimer() {
  stallTimer_.cancel();
  if (!streaming_ || call_->state() == net::Call::State::kFinished)
    return;
  stallTimer_ = client_.services_.timers.schedule(nowMs() + kStallLimitMs, [this] {
    ++client_.services_.counters["attempts.stalled"];
    client_.services_.directory.recordFailure(instance_, nowMs());
    call_->abandon();
    end({.outcome = AttemptOutcome::kTimeout});
  });
}

// A body that ends before the last event of its stream is incomplete.
void HttpInstanceClient::AttemptCall::done() {
  if (status_ == kServedStatus && !events_.finished())
    return failed(net::CallFailure::kInvalidResponse);
  end(result());
}

void HttpInstanceClient::AttemptCall::failed(net::CallFailure why) {
  // Any instance may send a malformed answer now and then. It is running and must not be ejected as
  // unreachable. The request may have run, as after any error. A head is sent with the first token,
  // so a decode instance that sent a head, even a malformed one, had fetched the KV cache, and the
  // next instance would have to process the whole prompt itself.
  if (why == net::CallFailure::kInvalidResponse) {
    ++client_.services_.counters["answers.garbled"];
    return end({.outcome = outcomeOf(why), .kvCacheLost = true});
  }
  InstanceDirectory& directory = client_.services_.directory;
  if (why != net::CallFailure::kWithdrawn)
    directory.recordFailure(instance_, nowMs());
  // After a reset the other idle connections to that instance are assumed to be dead, too.
  if (why == net::CallFailure::kReset)
    if (const InstanceEndpoint* endpoint = directory.find(instance_))
      client_.services_.pool.dropIdle(endpoint->address);
  end({.outcome = outcomeOf(why)});
}

core::AttemptResult HttpInstanceClient::AttemptCall::result() const {
  if (status_ == kServedStatus)
    return {.outcome = AttemptOutcome::kServed, .cachedTokens = usage_.cachedTokens()};
  if (status_ == kPrefilledStatus)
    return {.outcome = AttemptOutcome::kPrefilled, .cachedTokens = usage_.cachedTokens()};
  // A second, late answer to the previous request on the connection could be mistaken for a proof
  // that this request never ran, as answers do not identify their request. So a rejection is a
  // proof only on a fresh connection.
  const bool doubtful = !freshConnection_;
  if (rejected_ && status_ == kCacheLostStatus)
    return {.outcome = AttemptOutcome::kRejected, .kvCacheLost = true, .doubtful = doubtful};
  if (rejected_ && (status_ == kUnavailableStatus || status_ == kExpiredStatus))
    return {.outcome = AttemptOutcome::kRejected, .doubtful = doubtful};
  return {.outcome = AttemptOutcome::kError};
}

void HttpInstanceClient::AttemptCall::end(const core::AttemptResult& result) {
  lastChunkTimer_.cancel();
  stallTimer_.cancel();
  releaseTimer_.cancel();
  // The client's entry may hold the last reference to this object.
  HttpInstanceClient& client = client_;
  const core::AttemptKey key = key_;
  const bool isPrefill = isPrefill_;
  client.attempts_.erase(key.slot);
  if (isPrefill)
    client.reservations_.prefillEnded(key);
  client.dispatcher_.attemptEnded(key, result);
}

}  // namespace inference_router::upstream
