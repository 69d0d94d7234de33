/// What happens in one seed of the soak: faults and signals, each with its moment. Drawn from the
/// seed alone, and kept as text, so that a play can be repeated and made smaller.
///
/// The protocol and standing pages have outages of discovery of up to 8 s, and of instances of up
/// to 27 s.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pressure_clients.h"

namespace inference_router::soak {

enum class FaultKind {
  kSystemCalls,    ///< calls of one router fail, in its preloaded library
  kTerminate,      ///< SIGTERM, and a successor
  kKill,           ///< SIGKILL, and a successor
  kStop,           ///< SIGSTOP for a while
  kReload,         ///< SIGHUP
  kDrain,          ///< an instance begins to drain
  kHang,           ///< an instance answers nothing for a while
  kReset,          ///< an instance resets what it has for a while
  kReject,         ///< an instance turns requests away for a while
  kDiscoveryDown,  ///< discovery is out of a router's reach for a while, and learns nothing
  kReadNothing,    ///< some instances of one role are stopped for a while, and go on
  kLoseAnswers,    ///< connections to some instances of one role carry no more answers
  kLoseRequests,   ///< connections to some instances of one role carry nothing more, without an
                   ///< error
  kMoveDiscovery,  ///< one router gets a configuration with another address of discovery, and
                   ///< SIGHUP
  kReplace,        ///< a new process of one router begins to serve, then SIGTERM to the old one
  kKillSuccessor,  ///< SIGKILL to a new process while the old one ends
  kRestart,        ///< an instance is down for a while, and starts again in slow start
  kHoldArrivals,   ///< what is sent to an instance arrives together once the fault ends
  kSurge,          ///< more clients of one router for a while
};
const char* nameOf(FaultKind fault);

/// The configuration file at the moment of SIGHUP. No signal tells that it is complete and new
/// later.
enum class FileFault {
  kNone,
  kMissing,
  kTruncated,
  kOld,       ///< still the previous configuration
  kUnusable,  ///< valid JSON with settings that cannot be used
};
const char* nameOf(FileFault fault);

/// How discovery is out of reach at an address, until the fault ends.
enum class DiscoveryFault {
  kNone,
  kEmptyLineFirst,  ///< a watch gets an empty line, and breaks before the list
  kSilent,          ///< calls are accepted, and answered once the fault ends
  kRefused,         ///< connections are refused
  kErrors,          ///< calls are answered with 503
  kUnconnected,     ///< connections never come up
  kForgotten,       ///< calls are accepted, and not answered after the fault either
  kClosed,          ///< calls are accepted, and their connections closed
  kPartialList,     ///< a watch gets half a list, and nothing more after the fault either
  kCount,
};
const char* nameOf(DiscoveryFault fault);

/// What becomes of the watches that are open as discovery goes out of reach.
enum class OpenWatches {
  kClosed,
  kSilent,  ///< they stay open and carry nothing more, after the fault either
};
const char* nameOf(OpenWatches watches);

struct DiscoveryOutage {
  DiscoveryFault fault = DiscoveryFault::kSilent;
  OpenWatches openWatches = OpenWatches::kClosed;
};

/// After SIGHUP the list at discovery's new address counts as told from here on.
inline constexpr double kMoveAllowanceMs = 4'000;

struct DiscoveryMove {
  FileFault file = FileFault::kNone;
  DiscoveryFault newAddress = DiscoveryFault::kNone;
  /// Discovery goes on at the old address for so long after SIGHUP, and learns nothing new.
  double oldAddressForMs = 0;
  /// The file is complete and new so long after SIGHUP.
  double fileFaultForMs = 0;
};

/// What each router's configuration has under `limits`.
struct RouterLimits {
  int memoryMb = 192;
  int sockets = 256;
};

/// The streams of decode instances.
struct AnswerShape {
  int events = 4;
  std::size_t eventBytes = 0;  ///< text in each event beyond its usual word
  double maxGapMs = 40;        ///< between two events
};

/// Limits of the discovery behind all agents.
struct DiscoveryLoad {
  double callsPerS = 0;  ///< that it can serve; 0: any number
  bool refuses = false;  ///< answers what is above that with 503; false: late, in their order
};

struct PlannedFault {
  FaultKind kind = FaultKind::kHang;
  int target = 0;  ///< number of the router or instance
  double atMs = 0;
  double forMs = 0;
  std::string rule = {};  ///< of kSystemCalls: call, fault and share as the library's plan has them
  DiscoveryMove move = {};      ///< of kMoveDiscovery
  DiscoveryOutage outage = {};  ///< of kDiscoveryDown
  double newsMs = 0;            ///< of kRestart: from the start until discovery has it
  double drainMs = 0;           ///< of kRestart: it drains for so long before
};

struct Plan {
  std::uint64_t seed = 0;
  int routers = 24, instances = 30, clients = 4;  ///< clients of each router
  double lengthMs = 14'000;
  double maxDeadlineMs = 3'000;  ///< of the settings' classes
  bool reservationsByArrival =
      false;                     ///< a reservation is granted where the bytes of its prefill came
  int idleClients = 0;           ///< that connect to one router and send nothing
  bool drainingRejects = false;  ///< draining instances reject attempts and reservations
  DiscoveryLoad discoveryLoad = {};  ///< not part of the text of a plan
  RouterLimits limits = {};
  AnswerShape answers = {};  ///< not part of the text of a plan
  bool reconnects = false;   ///< clients open a connection for each request
  bool onOneCore = false;    ///< each router may use one core
  std::vector<PressureGroup> pressure = {};
  int slowWriters = 0;       ///< clients of each router that write their requests in two parts
  double warmupMs = 13'000;  ///< of an instance that has started
  double capacityPerS = 0;   ///< attempts that a warm instance can do; 0: slow start is not judged
  double allowancePerS = 200;  ///< of the tenant, in the settings; 0: the site has no tenants
  int surgeClients = 0;        ///< of each router, beside the others during kSurge
  std::vector<PlannedFault> faults;
};

/// Replacements of processes while instances hang and clients write slowly.
Plan drawReplacementPlan(std::uint64_t seed, int routers, int instances, double lengthMs);

/// Instances start again while most warm instances of their role are lost, clients crowd in and
/// most routers are killed.
Plan drawSlowStartPlan(std::uint64_t seed, int routers, int instances);

Plan drawPlan(std::uint64_t seed, int routers, int instances, double lengthMs);
std::string textOf(const Plan& plan);
std::optional<Plan> planOf(const std::string& text);

}  // namespace inference_router::soak
