#include "plan.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

namespace inference_router::soak {

using nlohmann::json;

namespace {

constexpr std::array kNames{"system_calls",  "terminate",      "kill",         "stop",
                            "reload",        "drain",          "hang",         "reset",
                            "reject",        "discovery_down", "read_nothing", "lose_answers",
                            "lose_requests", "move_discovery", "replace",      "kill_successor",
                            "restart",       "hold_arrivals",  "surge"};
constexpr int kDrawnKinds = 14;  // by drawPlan(), of the first in this order
constexpr std::array kFileFaultNames{"none", "missing", "truncated", "old", "unusable"};
constexpr std::array kDiscoveryFaultNames{"none",      "empty_line_first", "silent",
                                          "refused",   "errors",           "unconnected",
                                          "forgotten", "closed",           "partial_list"};
constexpr std::array kOpenWatchesNames{"closed", "silent"};

// Of the settings' classes, in turn over the seeds.
constexpr std::array kDeadlinesMs{3'000.0, 500.0, 7'000.0, 800.0, 1'500.0};
constexpr int kCrowdEvery = 4, kCrowd = 300;  // one seed in so many has idle clients, and how many

// As Linux documents them; shares are of the calls while the fault lasts.
constexpr std::array kRules{"receive EINTR every=2",
                            "receive short every=2",
                            "receive ENOMEM every=3",
                            "send EINTR every=2",
                            "send short every=1",
                            "send ENOBUFS every=3",
                            "accept EINTR every=2",
                            "accept ECONNABORTED every=2",
                            "accept EMFILE every=1",
                            "accept ENOBUFS every=1",
                            "connect EADDRNOTAVAIL every=1",
                            "connect ENETUNREACH every=2",
                            "connect EINTR every=2",
                            "socket ENOBUFS every=1",
                            "socket EMFILE every=2",
                            "write ENOSPC every=1",
                            "fsync EIO every=1",
                            "rename EIO every=1",
                            "read EIO every=2",
                            "clock step step=3600000",
                            "clock step step=-3600000",
                            "clock step step=3000"};

constexpr int kLeastFaults = 4, kMaxFaults = 9;
constexpr double kLeastMs = 100, kMaxMs = 1'500;
// One fault in so many lasts as long as outages of discovery and instances on the standing days.
constexpr int kLongEvery = 4;
constexpr int kLeastLongMs = 5'000, kMaxLongMs = 8'000;

// Outages of discovery that every seed has.
constexpr int kRoutersCutOff = 3;
constexpr int kFirstOutageMs = 200, kLatestOutageMs = 800;
constexpr int kMaxDrainBeforeReturnMs = 900, kMaxDrainAfterReturnMs = 1'500;

// Discovery at the old address: gone at once, after a while, or not before the end of the play.
constexpr std::array kOldAddressForMs{1'500.0, 0.0, 3'000.0, 60'000.0};
constexpr int kMovedRouters = 3;
constexpr std::uint64_t kMoveStride = 7;  // between the combinations of faults of one seed's moves
constexpr int kLatestMoveMs = 1'500;
constexpr int kMoveTwiceEvery = 3;  // one seed in so many moves a router again soon
constexpr int kLeastPauseMs = 50, kMaxPauseMs = 900;
constexpr int kLatestDrainAfterMoveMs = 1'500;

// Goes through all combinations of faults as the number rises.
DiscoveryMove moveOf(std::uint64_t number) {
  const auto file = number % kFileFaultNames.size();
  const auto address = number / kFileFaultNames.size() % kDiscoveryFaultNames.size();
  return {static_cast<FileFault>(file), static_cast<DiscoveryFault>(address),
          kOldAddressForMs.at(number % kOldAddressForMs.size()), 0};
}

// All ways to be out of reach in turn as the number rises; "none" is not one.
DiscoveryOutage outageOf(std::uint64_t number) {
  const auto ways = kDiscoveryFaultNames.size() - 1;
  return {static_cast<DiscoveryFault>(1 + number % ways),
          static_cast<OpenWatches>(number / ways % kOpenWatchesNames.size())};
}

template <class Value, class Names>
Value valueNamed(const Names& names, const std::string& name) {
  const auto* const it = std::find(names.begin(), names.end(), name);
  if (it == names.end())
    throw std::invalid_argument("a plan names no fault: " + name);
  return static_cast<Value>(it - names.begin());
}

json jsonOf(const DiscoveryMove& move) {
  return {{"file", nameOf(move.file)},
          {"new_address", nameOf(move.newAddress)},
          {"old_address_for_ms", move.oldAddressForMs},
          {"file_fault_for_ms", move.fileFaultForMs}};
}

DiscoveryMove moveIn(const json& entry) {
  const auto file = entry.at("file").get<std::string>();
  const auto address = entry.at("new_address").get<std::string>();
  return {valueNamed<FileFault>(kFileFaultNames, file),
          valueNamed<DiscoveryFault>(kDiscoveryFaultNames, address), entry.at("old_address_for_ms"),
          entry.at("file_fault_for_ms")};
}

json jsonOf(const DiscoveryOutage& outage) {
  return {{"fault", nameOf(outage.fault)}, {"open_watches", nameOf(outage.openWatches)}};
}

DiscoveryOutage outageIn(const json& entry) {
  const auto fault = entry.at("fault").get<std::string>();
  const auto watches = entry.at("open_watches").get<std::string>();
  return {valueNamed<DiscoveryFault>(kDiscoveryFaultNames, fault),
          valueNamed<OpenWatches>(kOpenWatchesNames, watches)};
}

constexpr int kMaxTarget = 1'000'000;
constexpr int kSpreadMs = 800;  // of most faults, about one moment
constexpr int kRoles = 3;       // prefill, decode and mixed by number; faults hit the first two
constexpr int kRolesInTurn = 2;

// Draws the faults of a plan from its seed.
class FaultDraw {
 public:
  explicit FaultDraw(Plan& plan) : plan_(plan), random_(plan.seed) {}

  // Most faults gather about one moment, so that they overlap.
  void draw() {
    const double centreMs = number(3'000, static_cast<int>(plan_.lengthMs) - 4'000);
    for (int left = number(kLeastFaults, kMaxFaults); left > 0; --left)
      addAny(centreMs);
    addLostMessages(centreMs);
    plan_.faults.push_back({FaultKind::kDrain, target(), nearby(centreMs), 0});
    addOutages();
    const double moveMs = number(0, kLatestMoveMs);
    addMoves(moveMs);
    addDrainsAfterMove(moveMs);
  }

 private:
  int number(int min, int max) { return std::uniform_int_distribution<int>(min, max)(random_); }
  int target() { return number(0, kMaxTarget); }
  double nearby(double centreMs) { return centreMs + number(-kSpreadMs, kSpreadMs); }
  double duration() { return number(static_cast<int>(kLeastMs), static_cast<int>(kMaxMs)); }
  double longDuration() { return number(kLeastLongMs, kMaxLongMs); }

  // Half of them are system calls.
  void addAny(double centreMs) {
    PlannedFault next;
    const int drawn = number(0, 2 * kDrawnKinds);
    next.kind = drawn < kDrawnKinds ? static_cast<FaultKind>(drawn) : FaultKind::kSystemCalls;
    next.target = target();
    next.atMs = nearby(centreMs);
    next.forMs = duration();
    if (next.kind != FaultKind::kSystemCalls && number(1, kLongEvery) == 1)
      next.forMs = longDuration();
    if (next.kind == FaultKind::kDiscoveryDown)
      next.outage = outageOf(static_cast<std::uint64_t>(next.target));
    if (next.kind == FaultKind::kSystemCalls)
      next.rule =
          kRules.at(static_cast<std::size_t>(number(0, static_cast<int>(kRules.size()) - 1)));
    if (next.kind == FaultKind::kMoveDiscovery) {
      next.move = moveOf(static_cast<std::uint64_t>(next.target));
      next.move.fileFaultForMs = std::min(next.forMs, kMaxMs);
    }
    plan_.faults.push_back(next);
  }

  // Every seed has messages of prefill or decode instances that are lost or late: what is drawn
  // alone has them too seldom.
  void addLostMessages(double centreMs) {
    constexpr std::array kAlways{FaultKind::kReadNothing, FaultKind::kLoseAnswers,
                                 FaultKind::kLoseRequests};
    const int role = static_cast<int>(plan_.seed / 2 % kRolesInTurn);
    const int instance = target() * kRoles + role;
    const double lastsMs = number(static_cast<int>(kMaxMs) / 2, static_cast<int>(kMaxMs));
    const FaultKind always = kAlways.at(plan_.seed / 2 % kAlways.size());
    plan_.faults.push_back({always, instance, nearby(centreMs), lastsMs});
  }

  // Discovery is out of reach of some routers for long, and learns of a drain just before its
  // return and of another just after.
  void addOutages() {
    const double fromMs = number(kFirstOutageMs, kLatestOutageMs);
    const double forMs = longDuration();
    for (int i = 0; i < kRoutersCutOff; ++i) {
      PlannedFault outage{FaultKind::kDiscoveryDown, target(), fromMs, forMs};
      outage.outage = outageOf(plan_.seed + static_cast<std::uint64_t>(i) * kMoveStride);
      plan_.faults.push_back(outage);
    }
    const double returnMs = fromMs + forMs;
    const double beforeMs = returnMs - number(0, kMaxDrainBeforeReturnMs);
    const double afterMs = returnMs + number(0, kMaxDrainAfterReturnMs);
    const int first = static_cast<int>(plan_.seed % kRolesInTurn);
    const int second = kRolesInTurn - 1 - first;
    plan_.faults.push_back({FaultKind::kDrain, target() * kRoles + first, beforeMs, 0});
    plan_.faults.push_back({FaultKind::kDrain, target() * kRoles + second, afterMs, 0});
  }

  // Every seed moves discovery for some routers, the first of them to an address that is out of
  // reach for long.
  void addMoves(double moveMs) {
    for (int i = 0; i < kMovedRouters; ++i) {
      DiscoveryMove move = moveOf(plan_.seed + static_cast<std::uint64_t>(i) * kMoveStride);
      move.fileFaultForMs = duration();
      const bool isLong = i == 0;
      if (isLong)
        move.newAddress = outageOf(plan_.seed).fault;
      const double forMs = isLong ? longDuration() : move.fileFaultForMs;
      plan_.faults.push_back({FaultKind::kMoveDiscovery, target(), moveMs, forMs, {}, move});
    }
    if (plan_.seed % kMoveTwiceEvery != 0)
      return;
    PlannedFault again = plan_.faults.back();
    again.atMs += number(kLeastPauseMs, kMaxPauseMs);
    again.move = moveOf(plan_.seed + 1);
    again.move.fileFaultForMs = again.forMs;
    plan_.faults.push_back(again);
  }

  // An instance of each of the first two roles begins to drain once the new address counts, or in
  // every other seed one of them during the move.
  void addDrainsAfterMove(double moveMs) {
    for (int role = 0; role < kRolesInTurn; ++role) {
      const bool duringMove = role == 0 && plan_.seed % 2 == 1;
      const double fromMs = duringMove ? moveMs : moveMs + kMoveAllowanceMs;
      const double atMs = fromMs + number(100, kLatestDrainAfterMoveMs);
      plan_.faults.push_back({FaultKind::kDrain, target() * kRoles + role, atMs, 0});
    }
  }

  Plan& plan_;
  std::mt19937_64 random_;
};

// Every seed has some of these clients; all kinds take turns as the seeds rise. Drawn apart, so
// that the other faults of a seed stay as they are.
constexpr std::uint64_t kPressureStream = 0x9e3779b97f4a7c15;
constexpr int kMinPressureGroups = 1, kMaxPressureGroups = 3;
constexpr int kMinPressureConnections = 2, kMaxPressureConnections = 150;
constexpr int kMaxFloodConnections = 12;  // beyond it the emulator's own machine is full
constexpr int kMinPressureMs = 2'000, kMaxPressureMs = 5'000;

bool isFlood(PressureKind kind) {
  return kind == PressureKind::kFlood || kind == PressureKind::kInvalidFlood ||
         kind == PressureKind::kEndlessChunkLine || kind == PressureKind::kEndlessTrailer;
}

std::vector<PressureGroup> drawPressure(const Plan& plan) {
  std::mt19937_64 random(plan.seed ^ kPressureStream);
  const auto number = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  std::vector<PressureGroup> groups;
  const int count = number(kMinPressureGroups, kMaxPressureGroups);
  for (int i = 0; i < count; ++i) {
    const auto kinds = static_cast<std::uint64_t>(PressureKind::kCount);
    const auto kind = static_cast<PressureKind>(
        (plan.seed + static_cast<std::uint64_t>(i) * kMoveStride) % kinds);
    const int most = isFlood(kind) ? kMaxFloodConnections : kMaxPressureConnections;
    groups.push_back({.kind = kind,
                      .router = number(0, plan.routers - 1),
                      .connections = number(kMinPressureConnections, most),
                      .atMs = static_cast<double>(number(0, static_cast<int>(plan.lengthMs) / 2)),
                      .forMs = static_cast<double>(number(kMinPressureMs, kMaxPressureMs))});
  }
  return groups;
}

// Of drawReplacementPlan(). Deadlines beyond the grace of a shutdown come most often.
constexpr std::array kReplacementDeadlinesMs{7'000.0, 3'000.0, 6'000.0, 1'500.0};
constexpr int kSlowWriters = 4;
constexpr int kReplacementMs = 6'000;  // from the start of the new process to the old one's end
constexpr int kMaxHangDelayMs = 1'500;
constexpr int kMinHangMs = 2'000, kMaxHangMs = 7'000;
constexpr int kMinBesideMs = 300, kMaxBesideMs = 3'000;

json jsonOf(const PressureGroup& group) {
  return {{"kind", nameOf(group.kind)},
          {"router", group.router},
          {"connections", group.connections},
          {"at_ms", group.atMs},
          {"for_ms", group.forMs}};
}

PressureGroup pressureIn(const json& entry) {
  return {.kind = pressureKindNamed(entry.at("kind").get<std::string>()),
          .router = entry.at("router"),
          .connections = entry.at("connections"),
          .atMs = entry.at("at_ms"),
          .forMs = entry.at("for_ms")};
}

}  // namespace

const char* nameOf(FaultKind fault) {
  return kNames.at(static_cast<std::size_t>(fault));
}

const char* nameOf(FileFault fault) {
  return kFileFaultNames.at(static_cast<std::size_t>(fault));
}

const char* nameOf(DiscoveryFault fault) {
  return kDiscoveryFaultNames.at(static_cast<std::size_t>(fault));
}

const char* nameOf(OpenWatches watches) {
  return kOpenWatchesNames.at(static_cast<std::size_t>(watches));
}

Plan drawPlan(std::uint64_t seed, int routers, int instances, double lengthMs) {
  Plan plan;
  plan.seed = seed;
  plan.routers = routers;
  plan.instances = instances;
  plan.lengthMs = lengthMs;
  plan.maxDeadlineMs = kDeadlinesMs.at(seed % kDeadlinesMs.size());
  plan.reservationsByArrival = seed % 2 == 0;
  plan.idleClients = seed % kCrowdEvery == 3 ? kCrowd : 0;
  plan.drainingRejects = seed / 2 % 2 == 0;
  plan.pressure = drawPressure(plan);
  FaultDraw(plan).draw();
  return plan;
}

Plan drawReplacementPlan(std::uint64_t seed, int routers, int instances, double lengthMs) {
  Plan plan;
  plan.seed = seed;
  plan.routers = routers;
  plan.instances = instances;
  plan.lengthMs = lengthMs;
  plan.maxDeadlineMs = kReplacementDeadlinesMs.at(seed % kReplacementDeadlinesMs.size());
  plan.reservationsByArrival = seed % 2 == 0;
  plan.slowWriters = kSlowWriters;
  std::mt19937_64 random(seed);
  const auto number = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  const int lastReplacementMs = static_cast<int>(lengthMs) - kReplacementMs;
  for (int router = 0; router < routers; ++router) {
    const double atMs = number(0, lastReplacementMs);
    plan.faults.push_back({FaultKind::kReplace, router, atMs, 0});
    const int hanging = number(instances / 4, instances / 2);
    for (int i = 0; i < hanging; ++i)
      plan.faults.push_back({FaultKind::kHang, number(0, instances - 1),
                             atMs + number(0, kMaxHangDelayMs),
                             static_cast<double>(number(kMinHangMs, kMaxHangMs))});
    constexpr std::array kBeside{FaultKind::kReload, FaultKind::kReject, FaultKind::kTerminate,
                                 FaultKind::kKillSuccessor};
    const FaultKind beside =
        kBeside.at(static_cast<std::size_t>(number(0, static_cast<int>(kBeside.size()) - 1)));
    plan.faults.push_back({beside, router, atMs + number(kMinBesideMs, kMaxBesideMs), kMaxMs});
  }
  return plan;
}

std::string textOf(const Plan& plan) {
  json list = json::array();
  for (const PlannedFault& fault : plan.faults) {
    json entry{{"fault", nameOf(fault.kind)},
               {"target", fault.target},
               {"at_ms", fault.atMs},
               {"for_ms", fault.forMs},
               {"rule", fault.rule}};
    if (fault.kind == FaultKind::kMoveDiscovery)
      entry["move"] = jsonOf(fault.move);
    if (fault.kind == FaultKind::kDiscoveryDown)
      entry["outage"] = jsonOf(fault.outage);
    if (fault.kind == FaultKind::kRestart) {
      entry["news_ms"] = fault.newsMs;
      entry["drain_ms"] = fault.drainMs;
    }
    list.push_back(std::move(entry));
  }
  json pressure = json::array();
  for (const PressureGroup& group : plan.pressure)
    pressure.push_back(jsonOf(group));
  return json{{"seed", plan.seed},
              {"conductors", plan.routers},
              {"instances", plan.instances},
              {"clients", plan.clients},
              {"length_ms", plan.lengthMs},
              {"longest_deadline_ms", plan.maxDeadlineMs},
              {"reservations_by_arrival", plan.reservationsByArrival},
              {"idle_clients", plan.idleClients},
              {"draining_rejects", plan.drainingRejects},
              {"slow_writers", plan.slowWriters},
              {"warmup_ms", plan.warmupMs},
              {"capacity_per_s", plan.capacityPerS},
              {"allowance_per_s", plan.allowancePerS},
              {"surge_clients", plan.surgeClients},
              {"pressure", pressure},
              {"faults", list}}
      .dump(2);
}

std::optional<Plan> planOf(const std::string& text) {
  try {
    const json complete = json::parse(text);
    Plan plan;
    plan.seed = complete.at("seed");
    plan.routers = complete.at("conductors");
    plan.instances = complete.at("instances");
    plan.clients = complete.at("clients");
    plan.lengthMs = complete.at("length_ms");
    plan.maxDeadlineMs = complete.at("longest_deadline_ms");
    plan.reservationsByArrival = complete.at("reservations_by_arrival");
    plan.idleClients = complete.at("idle_clients");
    plan.drainingRejects = complete.value("draining_rejects", false);
    plan.slowWriters = complete.value("slow_writers", 0);
    plan.warmupMs = complete.value("warmup_ms", plan.warmupMs);
    plan.capacityPerS = complete.value("capacity_per_s", plan.capacityPerS);
    plan.allowancePerS = complete.value("allowance_per_s", plan.allowancePerS);
    plan.surgeClients = complete.value("surge_clients", 0);
    for (const json& entry : complete.value("pressure", json::array()))
      plan.pressure.push_back(pressureIn(entry));
    for (const json& entry : complete.at("faults")) {
      PlannedFault next;
      next.kind = valueNamed<FaultKind>(kNames, entry.at("fault").get<std::string>());
      next.target = entry.at("target");
      next.atMs = entry.at("at_ms");
      next.forMs = entry.at("for_ms");
      next.rule = entry.at("rule");
      if (next.kind == FaultKind::kMoveDiscovery)
        next.move = moveIn(entry.at("move"));
      if (next.kind == FaultKind::kDiscoveryDown)
        next.outage = outageIn(entry.at("outage"));
      next.newsMs = entry.value("news_ms", 0.0);
      next.drainMs = entry.value("drain_ms", 0.0);
      plan.faults.push_back(next);
    }
    return plan;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace inference_router::soak
