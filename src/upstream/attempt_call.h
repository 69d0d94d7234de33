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

/// Reports what happens to the attempt to the RequestDispatcher. Owned by its client while the
/// attempt is in flight, and by its call while that runs.
class HttpInstanceClient::AttemptCall final : public net::CallSink {
 public:
  AttemptCall(HttpInstanceClient& client, const core::Dispatch& dispatch);

  /// The call that this is the sink of; to be set before anything happens to it.
  void setCall(std::shared_ptr<net::Call> call) { call_ = std::move(call); }
  /// Goes on with a stream that another process began, whose head and first events were passed on.
  void adopt(const std::string& incompleteEvent);

  core::AttemptKey key() const { return key_; }
  const routing::RequestId& request() const { return request_; }
  net::Call& call() { return *call_; }
  bool isPrefill() const { return isPrefill_; }
  bool isWritten() const { return writtenMs_ < HUGE_VAL; }
  /// Whether the event that ends a stream has come.
  bool finished() const { return events_.finished(); }
  /// The part of an event that has come, while it is not complete.
  const std::string& incompleteEvent() const { return events_.incompleteEvent(); }

  /// From when on a release beside the attempt cannot take what the attempt goes on with. A prefill
  /// that is not written yet has nothing, however long its connection takes to come up; a decode
  /// attempt needs the KV cache that waits for it.
  double releaseAllowedFromMs() const;
  /// Reserves capacity at a decode instance right after the last byte of this prefill: before it
  /// the instance knows of no prefill.
  void reserveOnceWritten(const routing::InstanceId& instance);
  /// Ends the attempt if nothing comes on its stream for too long from now on.
  void restartStallTimer();

  bool ready() override;
  net::Fields fieldsAsWritten() override;
  void written() override;
  void head(const net::ResponseHead& head) override;
  bool body(std::string_view part) override;
  void done() override;
  void failed(net::CallFailure why) override;

 private:
  void scheduleReleaseBeside();
  double acceptedByMs() const;
  void limitLastChunk();
  core::AttemptResult result() const;
  void end(const core::AttemptResult& result);
  double nowMs() const { return client_.services_.clock.nowMs(); }

  HttpInstanceClient& client_;
  core::AttemptKey key_;
  routing::RequestId request_;
  routing::InstanceId instance_;
  std::shared_ptr<net::Call> call_;
  std::optional<routing::InstanceId> reserveAt_;  // once this is written
  UsageReader usage_;
  EventStreamFilter events_;
  core::Timer lastChunkTimer_;
  core::Timer stallTimer_;
  core::Timer releaseTimer_;
  double deadlineMs_;            // its response is waited for until then
  double lastAttemptEndedMs_;    // of its request; 0: there was none
  double writtenMs_ = HUGE_VAL;  // when its last byte was
  int partsWithEvents_ = 0;
  unsigned status_ = 0;
  bool isPrefill_;
  bool streaming_ = false;
  bool rejected_ = false;
  bool freshConnection_ = false;
};

}  // namespace inference_router::upstream
