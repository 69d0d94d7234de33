/// The interfaces between the core and the rest of the process: clients, discovery and instances.
/// Independent of any wire protocol. Not thread-safe.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/slot_table.h"
#include "inference_router/router.h"

namespace inference_router::core {

using RequestKey = SlotKey;
using AttemptKey = SlotKey;

/// The part of a request that its frontend wants forwarded with every attempt. Opaque to the core.
struct Payload {
  virtual ~Payload() = default;
};

/// The answer to a request that was rejected.
struct Rejection {
  std::optional<double> retryAfterMs;
  bool pastDeadline = false;  ///< its deadline had passed
};

/// The answer to a request that failed.
struct Failure {
  bool pastDeadline = false;  ///< its deadline had passed
};

/// Writes the response to one client. Gets exactly one final call: reject(), fail(), end() or
/// abort().
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// The request was rejected and has not run, so the client may safely retry it.
  virtual void reject(const Rejection& refusal) = 0;
  /// The request failed, and may have run.
  virtual void fail(const Failure& failure) = 0;
  /// Whether a part of the stream can be passed on. Called with each part right before write(). The
  /// attempt of a part that cannot is over, and nothing of the part is sent.
  virtual bool canRead(std::string_view) { return true; }
  /// Sends a part of the stream. False asks the caller to wait for
  /// RequestDispatcher::clientReady().
  virtual bool write(std::string_view part) = 0;
  /// The stream is complete.
  virtual void end() = 0;
  /// The stream ends incomplete.
  virtual void abort() = 0;
  /// Whether the client is connected now, also if its disconnect has not been reported yet.
  virtual bool isClientPresent() const { return true; }
};

/// Receives updates of the endpoint list.
class EndpointListSink {
 public:
  virtual ~EndpointListSink() = default;
  virtual void list(routing::EndpointListUpdate update) = 0;
};

/// One attempt to be sent to an instance. Times are of core::Clock, in milliseconds.
struct Dispatch {
  AttemptKey attempt;
  routing::RequestId request;
  routing::InstanceId instance;
  std::shared_ptr<const Payload> payload;
  double deadlineMs;              ///< the response has to arrive before
  bool isPrefill;                 ///< creates a KV cache at its instance and uses none
  double notBeforeMs = 0;         ///< nothing is sent before
  double lastAttemptEndedMs = 0;  ///< when an attempt of its request last ended; 0: none has
};

/// Sends messages to the instances and reports the results to the RequestDispatcher, possibly
/// before the call returns.
class InstanceClient {
 public:
  virtual ~InstanceClient() = default;
  virtual void start(const Dispatch& dispatch) = 0;
  /// Closes the attempt's connection. Nothing more is reported for it.
  virtual void abandon(AttemptKey attempt) = 0;
  /// Continues reading a response after RequestDispatcher::responseReceived() returned false.
  virtual void resume(AttemptKey attempt) = 0;
  /// Whether a part of the attempt's response, or its end, has arrived and is not reported yet.
  virtual bool hasUnreadResponse(AttemptKey attempt) const = 0;
  /// Asks a decode instance for a reservation while the prefill is in flight.
  virtual void reserve(const routing::RequestId& request,
                       AttemptKey prefill,
                       const routing::InstanceId& instance) = 0;
  /// Releases everything that instances hold for a request.
  virtual void release(const routing::RequestId& request) = 0;
  virtual void checkHealth(const routing::InstanceId& instance) = 0;
};

/// How an attempt ended.
struct AttemptResult {
  routing::AttemptOutcome outcome;
  double cachedTokens = 0;   ///< of the prompt, found in the instance's cache
  bool kvCacheLost = false;  ///< no instance holds a KV cache for the request any more
  bool doubtful = false;     ///< the answer may belong to an earlier request on the connection
};

}  // namespace inference_router::core
