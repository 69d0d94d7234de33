// The whole interface of the routing module: settings handed in once, events in, actions out.
//
// A Router decides for one node. It owns no thread, clock or socket: time comes with each event and
// every draw from the seed. Nothing here has a default that tunes a decision.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace inference_router::routing {

using Duration = std::chrono::microseconds;

// The node's clock: it starts at no particular value and only advances.
struct NodeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<NodeClock>;
  static constexpr bool is_steady = true;
};
using Time = NodeClock::time_point;

template <class Tag>
struct Name {
  std::string value;
  auto operator<=>(const Name&) const = default;
};
using InstanceId = Name<struct InstanceTag>;
using RequestId = Name<struct RequestTag>;

template <class Tag>
struct Index {
  std::uint32_t value = 0;
  auto operator<=>(const Index&) const = default;
};
using ClassIndex = Index<struct ClassTag>;    // into Settings::classes
using TenantIndex = Index<struct TenantTag>;  // into Settings::tenants
using KindIndex = Index<struct KindTag>;      // into Settings::kinds
using ZoneIndex = Index<struct ZoneTag>;      // a zone of the site
using CellIndex = Index<struct CellTag>;      // instances with cheap moves between them

enum class Effect { kIdempotent, kDeduplicated, kAtMostOnce };
enum class DedupScope { kAll, kZone, kCell };  // of a keyed class: which instances drop repeats
enum class Role { kPrefill, kDecode, kMixed };
enum class Discovery { kPush, kPoll };
enum class LoadReports { kNone, kInline, kProbed };

// ---- Settings
// ------------------------------------------------------------------------------------

struct ClassSettings {
  Effect effect;
  DedupScope dedupScope;
  Duration dedupWindow;  // of a keyed class, from the send of the first attempt that may have run
  Duration latencyObjective;         // first token within this earns the full worth
  Duration latencyObjectivePer1000;  // added to the aim for each 1,000 prompt tokens
  Duration tokenIntervalObjective;   // mean gap between tokens that earns the full worth
  Duration deadline;                 // how long a client waits over all its tries
  double lateWeightShare;            // share of the worth for an answer after the aim
  double priorityWeight;
  bool stream;
};

struct KindSettings {
  Role role;
  double memoryTokens;
};

struct TenantSettings {
  double share;
  double allowancePerSecond;  // requests within its share, over all nodes
};

struct Contract {
  Duration drainGrace;        // sends to a draining instance end within this
  Duration answerGrace;       // a final answer this late after the deadline still counts
  Duration maxListAge;        // how old a list may grow where it has to be asked for
  double warmupInitialShare;  // share of its capacity that a started instance has at least
  Duration warmupDuration;    // after which it is warm
  double overloadFactor;      // times its present capacity
  Duration overloadWindow;    // for this long topples a cold instance
  Duration releaseLimit;
};

struct Limits {
  bool cancel;
  bool gossip;
  bool healthChecks;
  bool hedgedRequests;
  bool retryAfter;
  int maxAttempts;
  Duration maxRetryAfter;
  Duration connectTimeout;
};

struct Prices {  // shares of the result, each times its rate
  double crossZone;
  double lateFail;
  double move;  // of prompt tokens that leave their cell
  double peer;
  double probe;
  double waste;
};

struct Goal {
  double whole;
  double worstWindow;
  double worstClass;
  double worstTenant;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // empty where the site has none
  Contract contract;
  Limits limits;
  Prices prices;
  Goal goal;
  Discovery discovery;
  LoadReports reports;
  bool reservationsAllowed;  // ReserveDecode may be used
  bool decodeCanPrefill;     // a decode instance without a state reads the prompt itself
  bool streamResumption;     // a broken stream may go on elsewhere; MigrateStream may be used
  bool countedByWork;        // worth counts for each unit of work
  double overQuotaWeight;    // part of the worth kept beyond a tenant's share
  int nodes;                 // of this tier, this one included
  int me;                    // this node's number among them
  ZoneIndex zone;            // where this node runs
  Duration tick;             // events come at most this often
};

// Why settings cannot be used, in plain words; nothing if they can.
std::optional<std::string> problemWith(const Settings& settings);

// ---- Events
// --------------------------------------------------------------------------------------

struct LoadReport {                   // what an instance said of itself, somewhat old and not exact
  std::optional<double> inFlight;     // requests in hand, waiting states too
  std::optional<double> queued;       // requests waiting
  std::optional<double> slotShare;    // share of slots busy
  std::optional<double> memoryShare;  // share of memory held
  std::optional<double> tokensWaiting;  // prompt tokens to read or fetch
  std::optional<Duration> latency;      // recent time to the end of a read or to the first token
};

enum class EndpointState { kActive, kDraining, kRemoved };

struct EndpointRecord {
  InstanceId instance;
  ZoneIndex zone;
  KindIndex kind;
  CellIndex cell;
  EndpointState state;
  double weight;                // compares instances of one role
  std::optional<Time> started;  // its last start, if not long ago
};

enum class EndpointListForm { kChanges, kFull, kCached, kFailed };

struct EndpointListUpdate {
  std::uint64_t version;
  EndpointListForm form;
  std::vector<EndpointRecord> entries;
};

struct Arrival {
  RequestId request;
  ClassIndex cls;
  std::optional<TenantIndex> tenant;
  std::string session;                 // empty: none told
  std::string prefix;                  // shared beginning; empty: none
  Duration timeLeft;                   // of this try
  std::optional<Duration> lengthHint;  // rough time of the answer at the class's token aim
  double promptTokens;
  double prefixTokens;
  double maxTokens;
  bool repeat;
  bool resumed;
};

enum class AttemptOutcome {
  kServed,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kConnectionLost,
  kCancelled,
  kNotSent,
  kPrefilled
};

struct AttemptEnded {
  RequestId request;
  int attempt;
  InstanceId instance;
  AttemptOutcome outcome;
  Duration took;
  bool concluded;       // the client has its answer; nothing more is owed
  double cachedTokens;  // on kRead and kServed: prompt tokens that needed no reading
  bool kvCacheLost;  // no state waits any more: there was none to fetch (kFull), or it was fetched
  std::optional<LoadReport> report;
  bool doubtful = false;  // on kFull: the refusal may have been meant for an earlier request
};

// Whether an outcome proves that its attempt never ran: its connection did not come up, nothing of
// it went out, or its instance turned it away. A refusal that may have been meant for an earlier
// request proves nothing.
constexpr bool provesNotExecuted(AttemptOutcome outcome, bool doubtful) {
  return outcome == AttemptOutcome::kConnectFailed || outcome == AttemptOutcome::kNotSent ||
         (outcome == AttemptOutcome::kRejected && !doubtful);
}

struct StreamOpened {
  RequestId request;
  int attempt;
  InstanceId instance;
  Duration took;
};
struct ReservationResult {
  RequestId request;
  int attempt;
  InstanceId instance;
  bool granted;
};
struct HealthCheckEnded {
  InstanceId instance;
  Duration took;
  bool answered;
  std::optional<LoadReport> report;
};
struct PeerMessage {
  int from;
  std::string bytes;
};
struct TimerFired {
  std::uint64_t timer;
};
struct RequestAbandoned {
  RequestId request;
};  // nobody waits for it any more

struct ShutdownStarted {
  Duration grace;
};  // this node ends, and is killed no sooner than this from now

struct StreamAdopted {
  Arrival arrival;
  InstanceId instance;
};  // a stream that another process of this node began; its attempt is number 0

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

// ---- Actions
// -------------------------------------------------------------------------------------

struct DispatchAttempt {
  RequestId request;
  InstanceId instance;
  Time until;
  Time before =
      Time::max();  // nothing of it goes out from then on: a repeat might not be discarded
};                  // attempts count from 0
struct ReserveDecode {
  RequestId request;
  InstanceId instance;
};
struct ReleaseState {
  RequestId request;
};
struct RejectRequest {
  RequestId request;
  std::optional<Duration> retryAfter;
};  // a repeat is harmless
struct FailRequest {
  RequestId request;
};  // promises nothing
struct CancelAttempt {
  RequestId request;
  int attempt;
};
struct MigrateStream {
  RequestId request;
};
struct SetTimer {
  std::uint64_t timer;
  Duration in;
};
struct SendHealthCheck {
  InstanceId instance;
};
struct SendGossip {
  std::string bytes;
};  // all of them
struct SubscribeEndpoints {};
struct FetchEndpoints {};
struct LogMessage {
  std::string text;
};

using Action = std::variant<DispatchAttempt,
                            ReserveDecode,
                            ReleaseState,
                            RejectRequest,
                            FailRequest,
                            CancelAttempt,
                            MigrateStream,
                            SetTimer,
                            SendHealthCheck,
                            SendGossip,
                            SubscribeEndpoints,
                            FetchEndpoints,
                            LogMessage>;

// ---- The router
// ----------------------------------------------------------------------------------

// Settings that problemWith() names give a Router that fails every arrival at once and says why in
// its log, and so is an arrival of an unknown class. Entries of an unknown kind are left out of the
// list; an arrival of a known id, and any event for an id that is not held, are passed over.
class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Start is part of construction: the first actions come with the first event. Events that share a
  // time are handed over in the order they came; actions are appended in the order to be done.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  // Other settings from now on. Classes, tenants and kinds keep their places; more may follow them.
  void reconfigure(const Settings& settings);

  // Whether an instance that is listed is passed over for now, as it failed or is silent.
  bool avoids(Time now, const InstanceId& instance) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace inference_router::routing
