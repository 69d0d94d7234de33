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
using EngineId = Name<struct EngineTag>;
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
using CellIndex = Index<struct CellTag>;      // engines with cheap moves between them

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Group { kAll, kZone, kCell };  // of a keyed class: which engines drop repeats
enum class Role { kReader, kWriter, kMixed };
enum class Discovery { kPush, kAsk };
enum class Reports { kNone, kInline, kProbed };

// ---- Settings
// ------------------------------------------------------------------------------------

struct ClassSettings {
  Effect effect;
  Group group;
  Duration dedupWindow;  // of a keyed class, from the send of the first attempt that may have run
  Duration aim;          // first token within this earns the full worth
  Duration aimPer1000;   // added to the aim for each 1,000 prompt tokens
  Duration tokenAim;     // mean gap between tokens that earns the full worth
  Duration deadline;     // how long a client waits over all its tries
  double lateShare;      // share of the worth for an answer after the aim
  double worth;
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
  Duration drainGrace;   // sends to a draining engine end within this
  Duration answerGrace;  // a final answer this late after the deadline still counts
  Duration askWithin;    // how old a list may grow where it has to be asked for
  double coldFrom;       // share of its capacity that a started engine has at least
  Duration coldFor;      // after which it is warm
  double fallFactor;     // times its present capacity
  Duration fallFor;      // for this long topples a cold engine
  Duration releaseWithin;
};

struct Limits {
  bool cancel;
  bool peers;
  bool probing;
  bool secondCopies;
  bool retryAfter;
  int maxAttempts;
  Duration maxRetryAfter;
  Duration dialTimeout;
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
  Reports reports;
  bool placesAhead;       // HoldPlace may be used
  bool writersRead;       // a writer without a state reads the prompt itself
  bool resume;            // a broken stream may go on elsewhere; MoveStream may be used
  bool countedByWork;     // worth counts for each unit of work
  double overShareWorth;  // part of the worth kept beyond a tenant's share
  int nodes;              // of this tier, this one included
  int me;                 // this node's number among them
  ZoneIndex zone;         // where this node runs
  Duration tick;          // events come at most this often
};

// Why settings cannot be used, in plain words; nothing if they can.
std::optional<std::string> problemWith(const Settings& settings);

// ---- Events
// --------------------------------------------------------------------------------------

struct LoadReport {                     // what an engine said of itself, somewhat old and not exact
  std::optional<double> held;           // requests in hand, waiting states too
  std::optional<double> queued;         // requests waiting
  std::optional<double> slotShare;      // share of slots busy
  std::optional<double> memoryShare;    // share of memory held
  std::optional<double> tokensWaiting;  // prompt tokens to read or fetch
  std::optional<Duration> latency;      // recent time to the end of a read or to the first token
};

enum class Presence { kActive, kLeaving, kGone };

struct ListEntry {
  EngineId engine;
  ZoneIndex zone;
  KindIndex kind;
  CellIndex cell;
  Presence presence;
  double weight;                // compares engines of one role
  std::optional<Time> started;  // its last start, if not long ago
};

enum class ListForm { kChanges, kFull, kCached, kFailed };

struct ListNews {
  std::uint64_t version;
  ListForm form;
  std::vector<ListEntry> entries;
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

enum class Outcome {
  kServed,
  kError,
  kFull,
  kTimeout,
  kNoConnection,
  kConnectionLost,
  kCancelled,
  kNotSent,
  kRead
};

struct AttemptEnded {
  RequestId request;
  int attempt;
  EngineId engine;
  Outcome outcome;
  Duration took;
  bool concluded;     // the client has its answer; nothing more is owed
  double keptTokens;  // on kRead and kServed: prompt tokens that needed no reading
  bool stateGone;     // no state waits any more: there was none to fetch (kFull), or it was fetched
  std::optional<LoadReport> report;
  bool doubtful = false;  // on kFull: the refusal may have been meant for an earlier request
};

// Whether an outcome proves that its attempt never ran: its connection did not come up, nothing of
// it went out, or its instance turned it away. A refusal that may have been meant for an earlier
// request proves nothing.
constexpr bool provesNoRun(Outcome outcome, bool doubtful) {
  return outcome == Outcome::kNoConnection || outcome == Outcome::kNotSent ||
         (outcome == Outcome::kFull && !doubtful);
}

struct StreamOpened {
  RequestId request;
  int attempt;
  EngineId engine;
  Duration took;
};
struct PlaceNote {
  RequestId request;
  int attempt;
  EngineId engine;
  bool held;
};
struct ProbeEnded {
  EngineId engine;
  Duration took;
  bool answered;
  std::optional<LoadReport> report;
};
struct PeerMessage {
  int from;
  std::string bytes;
};
struct AlarmRang {
  std::uint64_t alarm;
};
struct Lapsed {
  RequestId request;
};  // nobody waits for it any more

struct Stopping {
  Duration grace;
};  // this node ends, and is killed no sooner than this from now

struct StreamAdopted {
  Arrival told;
  EngineId engine;
};  // a stream that another process of this node began; its attempt is number 0

using Event = std::variant<ListNews,
                           Arrival,
                           StreamOpened,
                           AttemptEnded,
                           PlaceNote,
                           ProbeEnded,
                           PeerMessage,
                           AlarmRang,
                           Lapsed,
                           Stopping,
                           StreamAdopted>;

// ---- Actions
// -------------------------------------------------------------------------------------

struct Send {
  RequestId request;
  EngineId engine;
  Time until;
  Time before =
      Time::max();  // nothing of it goes out from then on: a repeat might not be discarded
};                  // attempts count from 0
struct HoldPlace {
  RequestId request;
  EngineId engine;
};
struct Release {
  RequestId request;
};
struct Refuse {
  RequestId request;
  std::optional<Duration> retryAfter;
};  // a repeat is harmless
struct Fail {
  RequestId request;
};  // promises nothing
struct Cancel {
  RequestId request;
  int attempt;
};
struct MoveStream {
  RequestId request;
};
struct SetAlarm {
  std::uint64_t alarm;
  Duration in;
};
struct Probe {
  EngineId engine;
};
struct TellPeers {
  std::string bytes;
};  // all of them
struct Subscribe {};
struct FetchList {};
struct Log {
  std::string text;
};

using Action = std::variant<Send,
                            HoldPlace,
                            Release,
                            Refuse,
                            Fail,
                            Cancel,
                            MoveStream,
                            SetAlarm,
                            Probe,
                            TellPeers,
                            Subscribe,
                            FetchList,
                            Log>;

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

  // Whether an engine that is listed is passed over for now, as it failed or is silent.
  bool avoids(Time now, const EngineId& engine) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace inference_router::routing
