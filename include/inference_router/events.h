// What the decision module is told while it runs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "inference_router/types.h"

namespace inference_router::routing {

/// What an instance said of itself; somewhat old and not exact.
struct LoadReport {
  std::optional<double> inFlight;       ///< requests in hand, waiting KV caches included
  std::optional<double> queued;         ///< requests waiting
  std::optional<double> slotShare;      ///< share of slots busy, 0 to 1
  std::optional<double> memoryShare;    ///< share of memory taken, 0 to 1
  std::optional<double> tokensWaiting;  ///< prompt tokens to be prefilled or fetched
  std::optional<Duration> latency;  ///< recent time to the end of a prefill or to the first token
};

/// What the endpoint list says of an instance.
enum class EndpointState {
  kActive,
  kDraining,  ///< takes no new requests
  kRemoved
};

/// One entry of the endpoint list.
struct EndpointRecord {
  InstanceId instance;
  ZoneIndex zone;
  KindIndex kind;
  CellIndex cell;
  EndpointState state;
  double weight;                ///< capacity, compared with other instances of its role
  std::optional<Time> started;  ///< its last start, if not long ago
};

/// What an update of the endpoint list holds.
enum class EndpointListForm {
  kChanges,  ///< entries that have changed
  kFull,     ///< the complete list
  kCached,   ///< a complete list that may be old
  kFailed    ///< nothing: the list could not be obtained
};

/// Event: the endpoint list, or that it could not be obtained.
struct EndpointListUpdate {
  std::uint64_t version;
  EndpointListForm form;
  std::vector<EndpointRecord> entries;
};

/// Event: a request has arrived.
struct Arrival {
  RequestId request;
  ClassIndex cls;
  std::optional<TenantIndex> tenant;
  std::string session;  ///< of the client; empty: unknown
  std::string prefix;   ///< names the beginning that its prompt shares with others; empty: none
  Duration timeLeft;    ///< until the client gives up this attempt of its own
  std::optional<Duration> lengthHint;  ///< rough duration of the answer at the class's objective
  double promptTokens;
  double prefixTokens;  ///< length of the shared beginning
  double maxTokens;     ///< upper bound of the answer's length
  bool repeat;          ///< the client has sent it before
  bool resumed;         ///< the rest of an answer whose stream broke
};

/// How an attempt has ended.
enum class AttemptOutcome {
  kServed,          ///< the answer is complete
  kError,           ///< the instance answered with an error
  kRejected,        ///< the instance has no capacity for it
  kTimeout,         ///< DispatchAttempt::until has passed
  kConnectFailed,   ///< the connection did not come up
  kConnectionLost,  ///< the connection broke before the answer was complete
  kCancelled,       ///< as this module or the client wanted
  kNotSent,         ///< nothing of it went out
  kPrefilled        ///< the KV cache waits at the prefill instance
};

/// Event: an attempt has ended.
struct AttemptEnded {
  RequestId request;
  int attempt;  ///< its number, from 0
  InstanceId instance;
  AttemptOutcome outcome;
  Duration took;        ///< since its dispatch
  bool concluded;       ///< the client has its answer; nothing more is owed
  double cachedTokens;  ///< on kPrefilled and kServed: prompt tokens found in the cache
  bool kvCacheLost;  ///< no KV cache waits any more: there was none to fetch (kRejected), or it was
                     ///< fetched
  std::optional<LoadReport> report;
  bool doubtful = false;  ///< on kRejected: may have been meant for an earlier request
};

/// Whether an outcome proves that its attempt never ran: its connection did not come up, nothing of
/// it went out, or its instance rejected it. A rejection that may have been meant for an earlier
/// request proves nothing.
constexpr bool provesNotExecuted(AttemptOutcome outcome, bool doubtful) {
  return outcome == AttemptOutcome::kConnectFailed || outcome == AttemptOutcome::kNotSent ||
         (outcome == AttemptOutcome::kRejected && !doubtful);
}

/// Event: the first token of an attempt has come.
struct StreamOpened {
  RequestId request;
  int attempt;
  InstanceId instance;
  Duration took;  ///< since its dispatch
};

/// Event: the answer to ReserveDecode.
struct ReservationResult {
  RequestId request;
  int attempt;
  InstanceId instance;
  bool granted;
};

/// Event: the end of a health check.
struct HealthCheckEnded {
  InstanceId instance;
  Duration took;
  bool answered;
  std::optional<LoadReport> report;
};

/// Event: gossip of another node.
struct PeerMessage {
  int from;  ///< the number of the node
  std::string bytes;
};

/// Event: a timer set with SetTimer has expired.
struct TimerFired {
  std::uint64_t timer;
};

/// Event: nobody waits for the request any more.
struct RequestAbandoned {
  RequestId request;
};

/// Event: this node shuts down; it is killed no sooner than this from now.
struct ShutdownStarted {
  Duration grace;
};

/// Event: this node has taken over a stream that another process of it began. Its attempt is
/// number 0.
struct StreamAdopted {
  Arrival arrival;
  InstanceId instance;
};

/// Everything that a Router is told.
using Event = std::variant<EndpointListUpdate,
                           Arrival,
                           StreamOpened,
                           AttemptEnded,
                           ReservationResult,
                           HealthCheckEnded,
                           PeerMessage,
                           TimerFired,
                           RequestAbandoned,
                           ShutdownStarted,
                           StreamAdopted>;

}  // namespace inference_router::routing
