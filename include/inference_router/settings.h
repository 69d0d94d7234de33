// What the decision module is told once: the site, its contract and its request classes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "inference_router/types.h"

namespace inference_router::routing {

/// A class of requests.
struct ClassSettings {
  Effect effect;
  DedupScope dedupScope;  ///< of a deduplicated class
  Duration dedupWindow;   ///< of a deduplicated class, from the dispatch of the first attempt that
                          ///< may have been executed
  Duration latencyObjective;  ///< time to the first token that earns the full priority weight
  Duration latencyObjectivePer1000;  ///< added to it for each 1,000 prompt tokens
  Duration tokenIntervalObjective;   ///< mean time between tokens that earns the full weight
  Duration deadline;                 ///< how long a client waits, over all its attempts
  double lateWeightShare;  ///< share of the weight for an answer after the objective, 0 to 1
  double priorityWeight;   ///< worth of one answer, compared with other classes
  bool stream;             ///< answers are streamed
};

/// A kind of instance.
struct KindSettings {
  Role role;
  double memoryTokens;  ///< tokens that its memory holds
};

/// A tenant of the site.
struct TenantSettings {
  double share;               ///< of the capacity of the site, 0 to 1
  double allowancePerSecond;  ///< requests a second within its quota, over all nodes
};

/// What the site guarantees and demands.
struct Contract {
  Duration drainGrace;   ///< requests at a draining instance end within this
  Duration answerGrace;  ///< a final answer this late after the deadline still counts
  Duration maxListAge;   ///< how old an endpoint list may grow that has to be asked for
  double
      warmupInitialShare;   ///< share of its capacity that a started instance has at least, 0 to 1
  Duration warmupDuration;  ///< from its start until an instance is warm
  double overloadFactor;    ///< load that overloads an instance, in times its present capacity,
  Duration overloadWindow;  ///< if it lasts this long while the instance is not warm
  Duration releaseLimit;    ///< how long an instance keeps a KV cache that nobody fetches
};

/// Which actions the site allows.
struct Limits {
  bool cancel;             ///< CancelAttempt
  bool gossip;             ///< SendGossip
  bool healthChecks;       ///< SendHealthCheck
  bool hedgedRequests;     ///< a second attempt while one is out
  bool retryAfter;         ///< RejectRequest::retryAfter
  int maxAttempts;         ///< of one request; a prefill and a decode are two
  Duration maxRetryAfter;  ///< longest advice that clients heed
  Duration connectTimeout;
};

/// What costs of the site's result, each a share of it for a rate of one.
struct Prices {
  double crossZone;  ///< attempts that cross zones, for each request
  double lateFail;   ///< priority weight that ended unserved after the latency objective
  double move;       ///< prompt tokens whose KV cache leaves its cell
  double peer;       ///< bytes of gossip, for each request
  double probe;      ///< health checks and reservations, for each request
  double waste;      ///< work of instances that served no answer, of all work offered
};

/// What the site's result is made of: the weights of the whole day and of its worst parts.
struct Goal {
  double whole;
  double worstWindow;  ///< the worst short time
  double worstClass;
  double worstTenant;  ///< within its quota
};

/// All settings of a router.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  ///< empty where the site has none
  Contract contract;
  Limits limits;
  Prices prices;
  Goal goal;
  Discovery discovery;
  LoadReports reports;
  bool reservationsAllowed;  ///< ReserveDecode may be used
  bool decodeCanPrefill;     ///< a decode instance without a KV cache computes it itself
  bool streamResumption;     ///< a broken stream may go on elsewhere; MigrateStream may be used
  bool countedByWork;        ///< priority weights count for each unit of work
  double overQuotaWeight;    ///< part of the weight kept beyond a tenant's quota, 0 to 1
  int nodes;                 ///< of the routing tier, this one included
  int nodeIndex;             ///< this node's number among them
  ZoneIndex zone;            ///< where this node runs
  Duration tick;             ///< events come at most this often
};

/// Why settings cannot be used.
enum class SettingsError {
  kNoClasses,
  kNoKinds,
  kNoNodes,
  kNoAttempts,
  kNoOverloadWindow,
  kClassWithoutObjectiveOrDeadline
};

/// The error as a text for operators.
std::string describe(SettingsError error);

/// Why the settings cannot be used; nothing if they can.
std::optional<SettingsError> validate(const Settings& settings);

}  // namespace inference_router::routing
