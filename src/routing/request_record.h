// What the decision module remembers of one request and of its attempts. Holds facts; decides
// nothing.
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

struct Instance;  // an instance, owned by the module; records only refer to it

/// Where a request stands, in the order in which it passes.
enum class Phase {
  kWaiting,     ///< no attempt is out and no KV cache waits for it
  kPrefilling,  ///< out at a prefill instance
  kPrefilled,   ///< its KV cache waits for a decode instance
  kDecoding,    ///< out at a decode or mixed instance, no token yet
  kStreaming,   ///< its first token has come
  kFinished     ///< it has had its final answer
};

/// One attempt at one instance.
struct AttemptRecord {
  Instance* instance;
  Time sentAt;
  bool decodes;             ///< at a decode or mixed instance: it may have had its effect
  double prefillTokens;     ///< prompt tokens counted as waiting to be read there
  bool atAffinityInstance;  ///< at the first instance in the order of its prefix
  bool inFlight = true;     ///< no outcome yet; true of the last attempt of a request at most
  bool cancelled = false;   ///< cancelled by the module, its outcome still to come
  int overtakenCount = 0;   ///< later attempts there that were answered well ahead of it
  bool provedNotExecuted = false;  ///< its outcome proved that it never ran
};

/// One request, from its arrival until it has its final answer and no attempt is out.
struct RequestRecord {
  Arrival arrival;
  Time arrivedAt;
  Time deadline;
  Time objectiveAt;
  Time prefilledAt{};  ///< since when its KV cache has waited unused
  Phase phase = Phase::kWaiting;
  std::vector<AttemptRecord> attempts;
  std::set<InstanceId> excludedInstances;  ///< instances that failed it
  Instance* reservation = nullptr;         ///< where a reservation is asked for or held
  Instance* prefillInstance = nullptr;     ///< whose memory holds its KV cache
  int reservationsRejected = 0;            ///< reservations that were not granted
  /// When instances in slow start were first looked at, by the phase it was in.
  std::map<Phase, Time> slowStartOfferedAt;
  const Instance* affinityInstance = nullptr;  ///< the first instance in the order of its prefix
  bool holdsRemoteState = false;               ///< a KV cache or a reservation may be held for it
  Instance* reservedOn = nullptr;              ///< the decode instance in whose load it counts
  double reservedTokens = 0;                   ///< by so many tokens
  std::optional<Time> firstTokenAt;            ///< when its first token came

  /// Whether an attempt is out.
  bool hasAttemptInFlight() const { return !attempts.empty() && attempts.back().inFlight; }

  /// The first attempt that may have had its effect; null if all are known not to have run.
  const AttemptRecord* possiblyExecutedAttempt() const;

  /// The attempt of that number, from 0; null if there is none.
  AttemptRecord* attempt(int number);

  /// The number of the last attempt, from 0; -1 if there is none.
  int lastAttemptNumber() const { return static_cast<int>(attempts.size()) - 1; }

  /// Whether it refers to the instance, which must then be kept.
  bool refersTo(const Instance& instance) const;
};

/// All requests that the module holds, by their ids.
using RequestMap = std::map<RequestId, RequestRecord>;

/// The settings of the request's class.
inline const ClassSettings& classOf(const Settings& settings, const RequestRecord& request) {
  return settings.classes[request.arrival.cls.value];
}

/// The key by which a request keeps to an instance: its shared prefix, else its session, else its
/// own id.
const std::string& affinityKey(const RequestRecord& request);

}  // namespace inference_router::routing
