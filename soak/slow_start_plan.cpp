// Draws plans in which instances start again while most warm instances of their role are lost.
#include <algorithm>
#include <random>

#include "plan.h"

namespace inference_router::soak {

namespace {

constexpr int kRoles = 3;                       // prefill, decode and mixed by number
constexpr double kLoadShare = 0.6;              // of the capacity, by the usual clients
constexpr double kRequestsPerClientAndS = 3.2;  // with the gaps and answers of this emulator
constexpr double kAllowanceShare = 0.85;        // of the capacity, in the settings
constexpr int kMinWarmupMs = 5'000, kMaxWarmupMs = 8'000;
constexpr int kFirstStartMs = 500, kMaxStartSpreadMs = 1'500;
constexpr int kMinDownMs = 800, kMaxDownMs = 3'000;
constexpr int kMinNewsMs = 0, kMaxNewsMs = 3'300;
constexpr int kDrainMs = 1'500;  // before an instance leaves in a release
constexpr int kMinLossMs = 1'500, kMaxLossMs = 5'000;
constexpr int kMinSurgeMs = 2'000, kMaxSurgeMs = 5'000;
constexpr int kMinHoldMs = 300, kMaxHoldMs = 1'200;
constexpr int kOutageMs = 6'000;

class SlowStartDraw {
 public:
  explicit SlowStartDraw(Plan& plan) : plan_(plan), random_(plan.seed) {}

  void draw() {
    plan_.warmupMs = number(kMinWarmupMs, kMaxWarmupMs);
    addStarts();
    const double warmMs = lastStartMs_ + plan_.warmupMs;
    const double lossMs = number(static_cast<int>(lastStartMs_), static_cast<int>(warmMs));
    addLoss(lossMs);
    if (chance(2))
      addSurge(lossMs + number(-kMaxStartSpreadMs, kMaxStartSpreadMs));
    if (chance(2))
      addKills(number(kFirstStartMs, static_cast<int>(warmMs)));
    if (chance(3))
      addHolds(lossMs);
    if (chance(3))
      addOutages();
    if (chance(3))
      add({FaultKind::kReload, number(0, plan_.routers - 1), lossMs, 0});
    plan_.lengthMs = warmMs + kMaxLossMs + kMaxDownMs;
  }

 private:
  int number(int min, int max) { return std::uniform_int_distribution<int>(min, max)(random_); }
  bool chance(int oneIn) { return number(1, oneIn) == 1; }
  void add(const PlannedFault& fault) { plan_.faults.push_back(fault); }
  int ofRole(int number) const { return (number * kRoles + role_) % plan_.instances; }

  // One to three instances of a role, in a release or without notice.
  void addStarts() {
    role_ = number(0, kRoles - 1);
    started_ = number(1, 3);
    const bool release = chance(2);
    for (int i = 0; i < started_; ++i) {
      PlannedFault start{FaultKind::kRestart, ofRole(i),
                         static_cast<double>(kFirstStartMs + number(0, kMaxStartSpreadMs)),
                         static_cast<double>(number(kMinDownMs, kMaxDownMs))};
      start.drainMs = release ? kDrainMs : 0;
      start.newsMs = release ? 0 : number(kMinNewsMs, kMaxNewsMs);
      lastStartMs_ = std::max(lastStartMs_, start.atMs + start.drainMs + start.forMs);
      add(start);
    }
  }

  // All other instances of the role, or all but one; mixed instances in half of the seeds.
  void addLoss(double atMs) {
    const int ofRoleInAll = plan_.instances / kRoles;
    const double forMs = number(kMinLossMs, kMaxLossMs);
    const int spared = number(0, 1);
    for (int i = started_; i < ofRoleInAll - spared; ++i)
      add({FaultKind::kRestart, ofRole(i), atMs, forMs, {}, {}, {}, forMs / 2});
    if (role_ == 2 || chance(2))
      return;
    for (int i = 0; i < ofRoleInAll; ++i)
      add({FaultKind::kRestart, i * kRoles + 2, atMs, forMs, {}, {}, {}, forMs / 2});
  }

  void addSurge(double atMs) {
    const double forMs = number(kMinSurgeMs, kMaxSurgeMs);
    plan_.surgeClients = plan_.clients * number(1, 3);
    for (int router = 0; router < plan_.routers; ++router)
      add({FaultKind::kSurge, router, std::max(0.0, atMs), forMs});
  }

  // Seven in ten routers at once.
  void addKills(double atMs) {
    for (int router = 0; router < plan_.routers; ++router)
      if (router % 10 < 7)
        add({FaultKind::kKill, router, atMs, 0});
  }

  void addHolds(double atMs) {
    for (int i = 0; i < started_; ++i)
      add({FaultKind::kHoldArrivals, ofRole(i), atMs + number(0, kMaxStartSpreadMs),
           static_cast<double>(number(kMinHoldMs, kMaxHoldMs))});
  }

  void addOutages() {
    for (int router = 0; router < plan_.routers; router += 4)
      add({FaultKind::kDiscoveryDown, router, static_cast<double>(number(0, kFirstStartMs)),
           kOutageMs});
  }

  Plan& plan_;
  std::mt19937_64 random_;
  int role_ = 0, started_ = 0;
  double lastStartMs_ = 0;
};

}  // namespace

Plan drawSlowStartPlan(std::uint64_t seed, int routers, int instances) {
  constexpr int kCrowdEvery = 4, kCrowd = 300;  // seeds with idle clients
  Plan plan;
  plan.seed = seed;
  plan.routers = routers;
  plan.instances = instances;
  plan.clients = 8;
  plan.reservationsByArrival = seed % 2 == 0;
  plan.idleClients = seed % kCrowdEvery == 3 ? kCrowd : 0;
  const double perRole = 2.0 * instances / kRoles;  // with the mixed ones
  plan.capacityPerS = routers * plan.clients * kRequestsPerClientAndS / kLoadShare / perRole;
  const bool hasTenants = seed % 3 != 0;
  plan.allowancePerS = hasTenants ? plan.capacityPerS * perRole * kAllowanceShare : 0;
  SlowStartDraw(plan).draw();
  return plan;
}

}  // namespace inference_router::soak
