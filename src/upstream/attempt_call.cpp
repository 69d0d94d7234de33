#include "upstream/attempt_call.h"

#include <algorithm>
#include <utility>

namespace inference_router::upstream {

using routing::AttemptOutcome;
using routing::InstanceId;

namespace {

constexpr double kTransmissionMs = 75;      // for what was written to be read by its instance
constexpr double kLastChunkLimitMs = 1000;  // to follow the event that ends a stream
// Without an event on a stream that has begun: its client may be left waiting 5 s. Slow instances
// send every few seconds at worst.
constexpr double kStallLimitMs = 4200;
constexpr int kMinPartsOfStream = 2;  // a single part may be an answer that is no stream

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
      deadlineMs_(dispatch.deadlineMs),
      lastAttemptEndedMs_(dispatch.lastAttemptEndedMs),
      isPrefill_(dispatch.isPrefill) {}

void HttpInstanceClient::AttemptCall::adopt(const std::string& incompleteEvent) {
  status_ = kServedStatus;
  streaming_ = true;
  writtenMs_ = nowMs();
  events_.push(incompleteEvent);
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

// ---- Of the request

bool HttpInstanceClient::AttemptCall::ready() {
  return client_.dispatcher_.maySend(key_);
}

// Rounded down: the instance is given no more time than the client has left.
net::Fields HttpInstanceClient::AttemptCall::fieldsAsWritten() {
  const double leftMs = std::max(0.0, std::floor(deadlineMs_ - nowMs()));
  return {{client_.protocol_.budgetHeader, std::to_string(static_cast<long>(leftMs))}};
}

void HttpInstanceClient::AttemptCall::written() {
  writtenMs_ = nowMs();
  if (!isPrefill_)
    scheduleReleaseBeside();
  client_.dispatcher_.attemptWritten(key_);
  if (reserveAt_)
    client_.reservations_.reserve(request_, key_, *std::exchange(reserveAt_, std::nullopt));
}

// Guards the KV cache that a decode instance is to take: an attempt that was sent to an instance
// which no longer reads this connection, or that was answered with a piece of no stream, has taken
// nothing, and the time of what is held goes on. Where it did arrive, the release takes nothing
// from it.
void HttpInstanceClient::AttemptCall::scheduleReleaseBeside() {
  releaseTimer_ = client_.services_.timers.schedule(acceptedByMs(), [this] {
    if (partsWithEvents_ < kMinPartsOfStream)
      client_.releases_.releaseBeside(request_);
  });
}

// By when the instance has taken what is held for the request. The time of that goes on since the
// last attempt ended, however late this one was written; but it has a moment to arrive, as a
// release that overtook it would take its KV cache.
double HttpInstanceClient::AttemptCall::acceptedByMs() const {
  const double heldSinceMs = lastAttemptEndedMs_ > 0 ? lastAttemptEndedMs_ : writtenMs_;
  return std::max(heldSinceMs + client_.releaseLimitMs_, writtenMs_ + kTransmissionMs);
}

// ---- Of the response

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
  if (!events) {
    call_->failInvalidResponse();
    return true;
  }
  if (events_.finished() && !lastChunkTimer_.armed())
    limitLastChunk();
  if (events->empty())
    return true;  // part of an event is no sign of life to the client
  streaming_ = true;
  ++partsWithEvents_;
  restartStallTimer();
  if (client_.dispatcher_.responseReceived(key_, *events))
    return true;
  stallTimer_.cancel();  // a slow client holds the stream back, not its instance
  return false;
}

void HttpInstanceClient::AttemptCall::limitLastChunk() {
  lastChunkTimer_ = client_.services_.timers.schedule(nowMs() + kLastChunkLimitMs,
                                                      [this] { call_->failInvalidResponse(); });
}

// Guards a client against an instance that goes silent in the middle of its response.
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

// A last chunk ahead of the event that ends a stream is none of a complete stream.
void HttpInstanceClient::AttemptCall::done() {
  if (status_ == kServedStatus && !events_.finished())
    return failed(net::CallFailure::kInvalidResponse);
  end(result());
}

void HttpInstanceClient::AttemptCall::failed(net::CallFailure why) {
  // Any instance may send a spoilt answer now and then: it runs, and is not to be ejected as one
  // that is lost. The request may have run, as after any error. A head comes with the first token:
  // a decode instance that sent one, however spoilt, had fetched the KV cache, and the next would
  // have to process the whole prompt itself.
  if (why == net::CallFailure::kInvalidResponse) {
    ++client_.services_.counters["answers.garbled"];
    return end({.outcome = outcomeOf(why), .kvCacheLost = true});
  }
  InstanceDirectory& directory = client_.services_.directory;
  if (why != net::CallFailure::kWithdrawn)
    directory.recordFailure(instance_, nowMs());
  // After a reset the other idle connections to that instance are as dead as this one was.
  if (why == net::CallFailure::kReset)
    if (const InstanceEndpoint* endpoint = directory.find(instance_))
      client_.services_.pool.dropIdle(endpoint->address);
  end({.outcome = outcomeOf(why)});
}

core::Result HttpInstanceClient::AttemptCall::result() const {
  if (status_ == kServedStatus)
    return {.outcome = AttemptOutcome::kServed, .cachedTokens = usage_.cachedTokens()};
  if (status_ == kPrefilledStatus)
    return {.outcome = AttemptOutcome::kPrefilled, .cachedTokens = usage_.cachedTokens()};
  // Guards against a late second answer to the request before, which would be taken for a proof
  // that this one never ran: nothing in an answer names its request, so it proves that on a fresh
  // connection alone.
  const bool doubtful = !freshConnection_;
  if (rejected_ && status_ == kCacheLostStatus)
    return {.outcome = AttemptOutcome::kRejected, .kvCacheLost = true, .doubtful = doubtful};
  if (rejected_ && (status_ == kUnavailableStatus || status_ == kExpiredStatus))
    return {.outcome = AttemptOutcome::kRejected, .doubtful = doubtful};
  return {.outcome = AttemptOutcome::kError};
}

void HttpInstanceClient::AttemptCall::end(const core::Result& result) {
  lastChunkTimer_.cancel();
  stallTimer_.cancel();
  releaseTimer_.cancel();
  // The client's entry may be the last that owns this.
  HttpInstanceClient& client = client_;
  const core::AttemptKey key = key_;
  const bool isPrefill = isPrefill_;
  client.attempts_.erase(key.slot);
  if (isPrefill)
    client.reservations_.prefillEnded(key);
  client.dispatcher_.attemptEnded(key, result);
}

}  // namespace inference_router::upstream
