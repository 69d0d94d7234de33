/// The interfaces between the core and the rest of the process: clients, discovery and instances.
/// Nothing here knows a wire protocol. All belong to one thread.
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

/// What the front that took a request wants forwarded with every attempt. The core only carries it.
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

/// Writes the response to one client. Gets one final call, which is any but write() and
/// isClientPresent().
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// The request was rejected and has not run: a repeat is harmless.
  virtual void reject(const Rejection& refusal) = 0;
  /// The request failed, and may have run.
  virtual void fail(const Failure& failure) = 0;
  /// Sends a part of the stream. False asks to wait for RequestDispatcher::clientReady().
  virtual bool write(std::string_view part) = 0;
  /// The stream is complete.
  virtual void end() = 0;
  /// The stream breaks off.
  virtual void abort() = 0;
  /// Whether the client is connected at this very moment, whatever was reported of it so far.
  virtual bool isClientPresent() const { return true; }
};

/// Receives updates of the endpoint list.
class EndpointListSink {
 public:
  virtual ~EndpointListSink() = default;
  virtual void list(routing::EndpointListUpdate update) = 0;
};

/// One attempt for an instance. Times are of core::Clock, in milliseconds.
struct Dispatch {
  AttemptKey attempt;
  routing::RequestId request;
  routing::InstanceId instance;
  std::shared_ptr<const Payload> payload;
  double deadlineMs;              ///< its answer is waited for until then
  bool isPrefill;                 ///< it leaves a KV cache at its instance and takes none
  double notBeforeMs = 0;         ///< nothing of it goes out before
  double lastAttemptEndedMs = 0;  ///< when an attempt of its request last ended; 0: none did
};

/// Carries messages to the instances, and reports what comes of them to the RequestDispatcher, also
/// from within a call.
class InstanceClient {
 public:
  virtual ~InstanceClient() = default;
  virtual void start(const Dispatch& dispatch) = 0;
  /// Closes the attempt's connection. Nothing of it is reported any more.
  virtual void abandon(AttemptKey attempt) = 0;
  /// Goes on with a response, after RequestDispatcher::responseReceived() asked to wait.
  virtual void resume(AttemptKey attempt) = 0;
  /// Whether more of the attempt's response has come than was reported, its end included.
  virtual bool hasUnreadResponse(AttemptKey attempt) const = 0;
  /// Asks a decode instance for a reservation while the prefill is in flight.
  virtual void reserve(const routing::RequestId& request,
                       AttemptKey prefill,
                       const routing::InstanceId& instance) = 0;
  /// Releases all that instances hold for a request.
  virtual void release(const routing::RequestId& request) = 0;
  virtual void checkHealth(const routing::InstanceId& instance) = 0;
};

/// How an attempt ended.
struct AttemptResult {
  routing::AttemptOutcome outcome;
  double cachedTokens = 0;   ///< of the prompt, found in the instance's cache
  bool kvCacheLost = false;  ///< no KV cache waits for the request any more
  bool doubtful = false;     ///< may have been meant for an earlier request on the connection
};

}  // namespace inference_router::core
