// What the core asks of the fronts. Nothing here knows a wire.
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

// What a front wants passed on with every attempt; the core only carries it.
struct Payload {
  virtual ~Payload() = default;
};

struct Refusal {
  std::optional<double> retryAfterMs;
  bool pastDeadline = false;  // its time had passed
};
struct Failure {
  bool pastDeadline = false;
};

// The way back to one client.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void refuse(const Refusal& refusal) = 0;  // it has not run: a repeat is harmless
  virtual void fail(const Failure& failure) = 0;    // promises nothing
  virtual bool pass(
      std::string_view part) = 0;  // part of the stream; false: wait for clientReady()
  virtual void end() = 0;          // the stream is whole
  virtual void broken() = 0;       // the stream ends unfinished
  // Whether the client is still there at this very moment, whatever has been told of it so far.
  virtual bool present() const { return true; }
};

// Whoever wants to hear of the fleet list.
class EndpointListSink {
 public:
  virtual ~EndpointListSink() = default;
  virtual void list(routing::EndpointListUpdate news) = 0;
};

struct Dispatch {
  AttemptKey attempt;
  routing::RequestId request;
  routing::InstanceId instance;
  std::shared_ptr<const Payload> payload;
  double untilMs;
  bool reads;              // at a prefill instance: what it leaves is a state, and it takes none
  double afterMs = 0;      // nothing of it goes out before
  double heldSinceMs = 0;  // the last attempt of its request ended; 0: there was none
};

// The way to the instances. Whatever it reports comes through Router, also at once from within a
// call.
class InstanceClient {
 public:
  virtual ~InstanceClient() = default;
  virtual void start(const Dispatch& dispatch) = 0;
  virtual void abandon(AttemptKey attempt) = 0;
  virtual void resume(AttemptKey attempt) = 0;  // after Router::passed() said to wait
  // Whether more of its answer has come than was passed on, its end included.
  virtual bool unread(AttemptKey attempt) const = 0;
  virtual void holdPlace(const routing::RequestId& request,
                         AttemptKey reading,
                         const routing::InstanceId& instance) = 0;
  virtual void release(const routing::RequestId& request) = 0;
  virtual void probe(const routing::InstanceId& instance) = 0;
};

struct Result {
  routing::AttemptOutcome outcome;
  double cachedTokens = 0;
  bool kvCacheLost = false;
  bool doubtful =
      false;  // the answer may have been one to an earlier request on the same connection
};

}  // namespace inference_router::core
