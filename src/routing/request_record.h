// State of a request and of its attempts. Contains no decision logic.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "inference_router/events.h"
#include "inference_router/settings.h"
#include "inference_router/types.h"

namespace inference_router::routing {

struct Instance;  // owned by InstanceRegistry; records only refer to it

/// Phase of a request, in the order in which a request passes through them.
enum class Phase {
  kWaiting,     ///< no attempt is in flight and no KV cache exists
  kPrefilling,  ///< an attempt at a prefill instance is in flight
  kPrefilled,   ///< the KV cache waits for a decode instance
  kDecoding,    ///< an attempt at a decode or mixed instance is in flight, no token yet
  kStreaming,   ///< the first token has arrived
  kFinished     ///< the final answer was given
};

/// One attempt at one instance.
struct AttemptRecord {
  Instance* instance;
  Time sentAt;
  bool decodes;             ///< at a decode or mixed instance, so it may have been executed
  double prefillTokens;     ///< prompt tokens included in Instance::prefillTokens
  bool atAffinityInstance;  ///< at the first instance in preference order of its affinity key
  bool inFlight = true;     ///< no outcome yet; only the last attempt can be in flight
  bool cancelled = false;   ///< cancelled or migrated by this node
  int overtakenCount = 0;   ///< later attempts there that were answered well before it
  bool provedNotExecuted = false;  ///< its outcome proved that it was not executed
};

/// One request, from its arrival until it has its final answer and no attempt is in flight.
struct RequestRecord {
  Arrival arrival;
  Time arrivedAt;
  Time deadline;
  Time objectiveAt;
  Time prefilledAt{};  ///< since when its KV cache has been unused
  Phase phase = Phase::kWaiting;
  std::vector<AttemptRecord> attempts;
  std::set<InstanceId> excludedInstances;      ///< instances at which an attempt has failed
  Instance* reservation = nullptr;             ///< where a reservation was requested or is held
  Instance* prefillInstance = nullptr;         ///< the instance that prefills or holds its KV cache
  Time reservedAt{};                           ///< when that reservation was requested
  int reservationsRejected = 0;                ///< number of reservations that were rejected
  const Instance* affinityInstance = nullptr;  ///< first in preference order of its affinity key
  bool holdsRemoteState = false;               ///< an instance may hold a KV cache or a reservation
  Instance* reservedOn = nullptr;              ///< instance at which DecodeCapacity counts it
  double reservedTokens = 0;                   ///< number of tokens counted there
  std::optional<Time> firstTokenAt;            ///< when its first token arrived

  /// Whether an attempt is in flight.
  bool hasAttemptInFlight() const { return !attempts.empty() && attempts.back().inFlight; }

  /// The first attempt that may have been executed, or null if none can have been.
  const AttemptRecord* possiblyExecutedAttempt() const;

  /// The attempt with that number, from 0; null if there is none.
  AttemptRecord* attempt(int number);

  /// The number of the last attempt, from 0; -1 if there is none.
  int lastAttemptNumber() const { return static_cast<int>(attempts.size()) - 1; }

  /// Whether the record refers to the instance, which must then not be erased.
  bool refersTo(const Instance& instance) const;
};

/// All requests that the module holds, by id.
using RequestMap = std::map<RequestId, RequestRecord>;

/// The settings of the request's class.
inline const ClassSettings& classOf(const Settings& settings, const RequestRecord& request) {
  return settings.classes[request.arrival.cls.value];
}

/// The key that determines the preferred instances of a request: its shared prefix if it has one,
/// otherwise its session, otherwise its id.
const std::string& affinityKey(const RequestRecord& request);

}  // namespace inference_router::routing
