/// What happens in one seed of the soak: faults and signals, each with its moment. Drawn from the
/// seed alone, and kept as text, so that a play can be repeated and made smaller.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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
  kDiscoveryDown,  ///< watches are closed and none is answered for a while
  kReadNothing,    ///< some instances of one role are stopped for a while, and go on
  kLoseAnswers,    ///< connections to some instances of one role carry no more answers
  kLoseRequests,   ///< connections to some instances of one role carry nothing more, without an
                   ///< error
  kMoveDiscovery,  ///< one router gets a configuration with another address of discovery, and
                   ///< SIGHUP
};
const char* nameOf(FaultKind fault);

/// The configuration file at the moment of SIGHUP. It is complete and new when the fault ends; no
/// further signal tells of that.
enum class FileFault {
  kNone,
  kMissing,
  kTruncated,
  kOld,       ///< still the previous configuration
  kUnusable,  ///< valid JSON with settings that cannot be used
};
const char* nameOf(FileFault fault);

/// Discovery at a new address, until the fault ends.
enum class DiscoveryFault {
  kNone,
  kEmptyLineFirst,  ///< a watch gets an empty line, and breaks before the list
  kSilent,          ///< calls are accepted and not answered
  kRefused,         ///< connections are refused
  kErrors,          ///< calls are answered with 503
};
const char* nameOf(DiscoveryFault fault);

struct DiscoveryMove {
  FileFault file = FileFault::kNone;
  DiscoveryFault newAddress = DiscoveryFault::kNone;
  /// Discovery goes on at the old address for so long after SIGHUP, and learns nothing new.
  double oldAddressForMs = 0;
};

struct PlannedFault {
  FaultKind kind = FaultKind::kHang;
  int target = 0;  ///< number of the router or instance
  double atMs = 0;
  double forMs = 0;
  std::string rule;    ///< of kSystemCalls: call, fault and share as the library's plan has them
  DiscoveryMove move;  ///< of kMoveDiscovery
};

struct Plan {
  std::uint64_t seed = 0;
  int routers = 24, instances = 30, clients = 4;  ///< clients of each router
  double lengthMs = 12'000;
  double maxDeadlineMs = 3'000;  ///< of the settings' classes
  bool reservationsByArrival =
      false;                     ///< a reservation is granted where the bytes of its prefill came
  int idleClients = 0;           ///< that connect to one router and send nothing
  bool drainingRejects = false;  ///< draining instances reject attempts and reservations
  std::vector<PlannedFault> faults;
};

Plan drawPlan(std::uint64_t seed, int routers, int instances, double lengthMs);
std::string textOf(const Plan& plan);
std::optional<Plan> planOf(const std::string& text);

}  // namespace inference_router::soak
