// Events: the input of the decision module while it runs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "inference_router/types.h"

namespace inference_router::routing {

/// Load that an instance reports about itself; approximate and slightly out of date.
struct LoadReport {
  std::optional<double> inFlight;       ///< requests in progress, unfetched KV caches included
  std::optional<double> queued;         ///< requests that wait to be started
  std::optional<double> slotShare;      ///< share of slots in use, 0 to 1
  std::optional<double> memoryShare;    ///< share of memory in use, 0 to 1
  std::optional<double> tokensWaiting;  ///< prompt tokens that wait to be prefilled or fetched
  std::optional<Duration> latency;      ///< recent time to the end of a prefill or first token
};

/// State of an instance in the endpoint list.
enum class EndpointState {
  kActive,
  kDraining,  ///< accepts no new requests
  kRemoved
};

/// One entry of the endpoint list.
struct EndpointRecord {
  InstanceId instance;
  ZoneIndex zone;
  KindIndex kind;
  CellIndex cell;
  EndpointState state;
  double weight;                ///< capacity relative to other instances of its role
  std::optional<Time> started;  ///< time of its last start, if recent
};

/// Content of an update of the endpoint list.
enum class EndpointListForm {
  kChanges,  ///< only the entries that have changed
  kFull,     ///< the complete list
  kCached,   ///< a complete list that may be out of date
  kFailed    ///< no entries: the list could not be obtained
};

/// Event: the endpoint list, its changes, or a failure to obtain it.
struct EndpointListUpdate {
  std::uint64_t version;
  EndpointListForm form;
  std::vector<EndpointRecord> entries;
  /// Since when the list before this update may have been out of date. The drains that the update
  /// reports may have begun then. Nothing: that list was current.
  std::optional<Time> outdatedSince = std::nullopt;
};

/// Event: a request has arrived.
struct Arrival {
  RequestId request;
  ClassIndex cls;
  std::optional<TenantIndex> tenant;
  std::string session;  ///< client session; empty if unknown
  std::string prefix;   ///< key of the prefix that its prompt shares with others; empty if none
  Duration timeLeft;    ///< until the client gives up this try
  /// Approximate duration of the answer at the class's token interval objective.
  std::optional<Duration> lengthHint;
  double promptTokens;
  double prefixTokens;  ///< length of the shared prefix
  double maxTokens;     ///< upper bound of the answer's length in tokens
  bool repeat;          ///< the client has sent this request before
  bool resumed;         ///< asks for the rest of an answer whose stream broke off
};

/// How an attempt ended.
enum class AttemptOutcome {
  kServed,          ///< the answer is complete
  kError,           ///< the instance answered with an error
  kRejected,        ///< the instance had no capacity for it
  kTimeout,         ///< DispatchAttempt::timeoutAt has passed
  kConnectFailed,   ///< the connection could not be established
  kConnectionLost,  ///< the connection was lost before the answer was complete
  kCancelled,       ///< cancelled by this module or by the client
  kNotSent,         ///< no byte of it was sent
  kPrefilled        ///< the prefill instance holds the KV cache
};

/// Event: an attempt ended.
struct AttemptEnded {
  RequestId request;
  int attempt;  ///< number of the attempt, from 0
  InstanceId instance;
  AttemptOutcome outcome;
  Duration took;        ///< since its dispatch
  bool concluded;       ///< the client has its final answer; nothing else is to be sent
  double cachedTokens;  ///< on kPrefilled and kServed: prompt tokens that were cached
  bool kvCacheLost;     ///< no KV cache is held any longer: none was found (kRejected), or it was
                        ///< fetched
  std::optional<LoadReport> report;
  bool doubtful = false;  ///< on kRejected: the rejection may belong to an earlier request
};

/// Whether an outcome proves that its attempt was never executed: the connection could not be
/// established, no byte was sent, or the instance rejected it. A rejection that may belong to an
/// earlier request proves nothing.
constexpr bool provesNotExecuted(AttemptOutcome outcome, bool doubtful) {
  return outcome == AttemptOutcome::kConnectFailed || outcome == AttemptOutcome::kNotSent ||
         (outcome == AttemptOutcome::kRejected && !doubtful);
}

/// Event: the first token of an attempt has arrived.
struct StreamOpened {
  RequestId request;
  int attempt;
  InstanceId instance;
  Duration took;  ///< since its dispatch
};

/// Event: the result of ReserveDecode.
struct ReservationResult {
  RequestId request;
  int attempt;
  InstanceId instance;
  bool granted;
};

/// Event: a health check ended.
struct HealthCheckEnded {
  InstanceId instance;
  Duration took;
  bool answered;
  std::optional<LoadReport> report;
};

/// Event: gossip received from another node.
struct PeerMessage {
  int from;  ///< index of the sending node
  std::string bytes;
};

/// Event: a timer set with SetTimer has expired.
struct TimerFired {
  std::uint64_t timer;
};

/// Event: the client no longer waits for the request.
struct RequestAbandoned {
  RequestId request;
};

/// Event: this node starts to shut down, or what is known of its successor has changed. It is not
/// killed before the grace period ends, which runs from the first such event.
struct ShutdownStarted {
  Duration grace;
  /// Whether another process of the node takes over each stream as soon as it is open.
  bool successorTakesStreams = false;
};

/// Event: this process has taken over a stream that another process of the same node opened. Its
/// attempt has number 0.
struct StreamAdopted {
  Arrival arrival;
  InstanceId instance;
};

/// Any event that a Router handles.
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
