/// One attempt of a request at one instance, from its first byte to the end of the response.
#pragma once

#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.h"
#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/event_stream_filter.h"
#include "upstream/http_instance_client.h"
#include "upstream/usage_reader.h"

namespace inference_router::upstream {

/// Reports the progress of the attempt to the RequestDispatcher. Owned by its client while the
/// attempt is in flight, and by its call while that is in progress.
class HttpInstanceClient::AttemptCall final : public net::CallSink {
 public:
  AttemptCall(HttpInstanceClient& client, const core::Dispatch& dispatch);

  /// Sets the call whose events this sink receives. Has to be called before the first event.
  void setCall(std::shared_ptr<net::Call> call) { call_ = std::move(call); }
  /// Continues a stream that another process began, whose head and first events were passed on
  /// there.
  void adopt(const std::string& incompleteEvent);

  core::AttemptKey key() const { return key_; }
  const routing::RequestId& request() const { return request_; }
  net::Call& call() { return *call_; }
  bool isPrefill() const { return isPrefill_; }
  bool isWritten() const { return writtenMs_ < HUGE_VAL; }
  /// Whether the last event of the stream has arrived.
  bool finished() const { return events_.finished(); }
  /// The part of an incomplete event that has arrived.
  const std::string& incompleteEvent() const { return events_.incompleteEvent(); }

  /// From when on a release of the request does not affect this attempt. A prefill that is not
  /// written yet holds nothing, however long its connection takes to be established; a decode
  /// attempt needs the KV cache until it has fetched it.
  double releaseAllowedFromMs() const;
  /// Reserves capacity at a decode instance right after the last byte of this prefill was written:
  /// before that, the instance does not know of the prefill.
  void reserveOnceWritten(const routing::InstanceId& instance);
  /// Restarts the timer that ends the attempt if its stream stalls.
  void restartStallTimer();

  bool ready() override;
  net::Fields fieldsAsWritten() override;
  void written() override;
  void head(const net::ResponseHead& head) override;
  bool body(std::string_view part) override;
  void done() override;
  void failed(net::CallFailure why) override;

 private:
  void scheduleReleaseDuringAttempt();
  double acceptedByMs() const;
  bool chargeIncompleteEvent();
  void limitPauses();
  void limitLastChunk();
  core::AttemptResult result() const;
  void end(const core::AttemptResult& result);
  double nowMs() const { return client_.services_.clock.nowMs(); }

  HttpInstanceClient& client_;
  core::AttemptKey key_;
  routing::RequestId request_;
  routing::InstanceId instance_;
  std::shared_ptr<net::Call> call_;
  std::optional<routing::InstanceId> reserveAt_;  // once the prefill is written
  UsageReader usage_;
  EventStreamFilter events_;
  core::MemoryCharge memory_;  // of an incomplete event
  core::Timer lastChunkTimer_;
  core::Timer stallTimer_;
  core::Timer releaseTimer_;
  double deadlineMs_;            // the response has to arrive before
  double lastAttemptEndedMs_;    // when an attempt of the request last ended; 0: none has
  double writtenMs_ = HUGE_VAL;  // when the last byte was written
  int partsWithEvents_ = 0;
  unsigned status_ = 0;
  bool isPrefill_;
  bool streaming_ = false;
  bool rejected_ = false;
  bool freshConnection_ = false;
};

}  // namespace inference_router::upstream
