// Settings of the decision module: the site, its contract and its request classes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "inference_router/types.h"

namespace inference_router::routing {

/// A class of requests.
struct ClassSettings {
  Effect effect;
  DedupScope dedupScope;  ///< for deduplicated classes
  Duration dedupWindow;   ///< for deduplicated classes: starts at the dispatch of the first attempt
                          ///< that may have been executed
  Duration latencyObjective;  ///< time to the first token that earns the full priority weight
  Duration latencyObjectivePer1000;  ///< added to latencyObjective for each 1,000 prompt tokens
  Duration tokenIntervalObjective;   ///< mean time between tokens that earns the full weight
  Duration deadline;                 ///< how long a client waits, over all its tries
  double lateWeightShare;  ///< share of the weight that an answer after the objective earns, 0 to 1
  double priorityWeight;   ///< value of one answer, relative to other classes
  bool stream;             ///< answers are streamed
};

/// A kind of instance.
struct KindSettings {
  Role role;
  double memoryTokens;  ///< number of tokens that fit into its memory
};

/// A tenant of the site.
struct TenantSettings {
  double share;               ///< share of the site's capacity, 0 to 1
  double allowancePerSecond;  ///< quota in requests per second, over all nodes
};

/// Guarantees and requirements of the site.
struct Contract {
  Duration drainGrace;        ///< time within which requests at a draining instance must end
  Duration answerGrace;       ///< a final answer still counts if it is late by at most this
  Duration maxListAge;        ///< maximum age of an endpoint list that is polled
  double warmupInitialShare;  ///< minimum share of its capacity that a started instance has, 0 to 1
  Duration warmupDuration;    ///< time from the start of an instance until it is warm
  double
      overloadFactor;  ///< load, as a multiple of its current capacity, that overloads an instance
  Duration overloadWindow;  ///< when it lasts this long while the instance is not warm
  Duration releaseLimit;    ///< how long an instance keeps a KV cache that is not fetched
};

/// Actions that the site allows, and their limits.
struct Limits {
  bool cancel;             ///< CancelAttempt
  bool gossip;             ///< SendGossip
  bool healthChecks;       ///< SendHealthCheck
  bool hedgedRequests;     ///< a second attempt while one is in flight
  bool retryAfter;         ///< RejectRequest::retryAfter
  int maxAttempts;         ///< per request; a prefill and a decode count as two
  Duration maxRetryAfter;  ///< longest delay that clients honour
  Duration connectTimeout;
};

/// Cost factors of the site's score. Each is the share of the score that a rate of one costs.
struct Prices {
  double crossZone;  ///< attempts that cross zones, per request
  double lateFail;  ///< priority weight of requests that ended unserved after the latency objective
  double move;      ///< prompt tokens whose KV cache leaves its cell
  double peer;      ///< bytes of gossip, per request
  double probe;     ///< health checks and reservations, per request
  double waste;     ///< work spent on requests that were not served, as a share of offered work
};

/// Weights of the components of the site's score.
struct Goal {
  double whole;        ///< the whole day
  double worstWindow;  ///< the worst short time window
  double worstClass;   ///< the worst request class
  double worstTenant;  ///< the worst tenant, within its quota
};

/// All settings of a router.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  ///< empty if the site has none
  Contract contract;
  Limits limits;
  Prices prices;
  Goal goal;
  Discovery discovery;
  LoadReports reports;
  bool reservationsAllowed;  ///< ReserveDecode may be used
  bool decodeCanPrefill;     ///< a decode instance can compute a missing KV cache itself
  bool streamResumption;   ///< clients resume broken streams at another node; MigrateStream may be
                           ///< used
  bool countedByWork;      ///< priority weights apply per unit of work instead of per request
  double overQuotaWeight;  ///< share of the priority weight beyond a tenant's quota, 0 to 1
  int nodes;               ///< number of nodes of the routing tier, including this one
  int nodeIndex;           ///< index of this node, from 0
  ZoneIndex zone;          ///< zone of this node
  Duration tick;           ///< minimum interval at which events are delivered
};

/// Reason why settings are invalid.
enum class SettingsError {
  kNoClasses,
  kNoKinds,
  kNoNodes,
  kNoAttempts,
  kNoOverloadWindow,
  kClassWithoutObjectiveOrDeadline
};

/// Returns a description of the error for operators.
std::string describe(SettingsError error);

/// Returns the reason why the settings are invalid, or nothing if they are valid.
std::optional<SettingsError> validate(const Settings& settings);

}  // namespace inference_router::routing
