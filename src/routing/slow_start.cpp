#include "routing/slow_start.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

#include "routing/constants.h"
#include "routing/duration_math.h"

namespace inference_router::routing {
namespace {

// Weight of unlisted instances that a recently started node assumes for a role if all of its listed
// instances are in slow start: the rest of the fleet may have failed along with them.
constexpr double kUnlistedWeight = 8;
// Interval at which ends of slow starts are looked for.
constexpr Duration kReportInterval = std::chrono::milliseconds{500};
// Time after which a change of the endpoint list counts as known to every node.
constexpr Duration kMaxNewsDelay = std::chrono::seconds{6};
// Attempts in a row that cannot connect after which an instance may have ended. A single connection
// may fail for another reason.
constexpr int kFailuresOfAnEnd = 2;
// Number of nodes from which one trial request of each may overload an instance.
constexpr int kManyNodes = 20;

// The rate of events, per second, whose decayed count covers that much time.
double ratePerSecond(double decayedCount, Duration observedFor) {
  const double observedShare = -std::expm1(-ratio(observedFor, kTrafficTimeConstant));
  return decayedCount / (inSeconds(kTrafficTimeConstant) * observedShare);
}

double allowancePerSecond(const Settings& settings) {
  double sum = 0;
  for (const TenantSettings& tenant : settings.tenants)
    sum += tenant.allowancePerSecond;
  return sum;
}

}  // namespace

const char* nameOf(SlowStartDenial denial) {
  switch (denial) {
    case SlowStartDenial::kBudgetUsed:
      return "budget_used";
    case SlowStartDenial::kNodeStarted:
      return "node_started";
    case SlowStartDenial::kReservationOld:
      return "reservation_old";
    case SlowStartDenial::kCount:
      break;
  }
  return "";
}

void SlowStart::endpointsChanged(Time now) {
  observeWeights(now);
  reportAt_ = Time{};
}

bool SlowStart::isLimited(const Instance& instance, Time now) const {
  return loadLimit(settings_.contract, startOf(instance, now), now).has_value();
}

// The start by the endpoint list or, if the instance may have restarted since, the latest time.
std::optional<Time> SlowStart::startOf(const Instance& instance, Time now) const {
  const std::optional<Time>& listed = instance.endpoint.started;
  const bool mayHaveEnded = settings_.nodes >= kManyNodes &&
                            instance.connectFailures >= kFailuresOfAnEnd &&
                            now - *instance.unreachableAt < kMaxNewsDelay;
  if (!mayHaveEnded)
    return listed;
  return std::max(listed.value_or(*instance.unreachableAt), *instance.unreachableAt);
}

void SlowStart::recordConnectFailure(Instance& instance, Time now) {
  const bool inARow = instance.unreachableAt && now - *instance.unreachableAt < kMaxNewsDelay;
  instance.connectFailures = inARow ? instance.connectFailures + 1 : 1;
  instance.unreachableAt = now;
}

bool SlowStart::admits(Instance& instance, Time now) {
  if (!isLimited(instance, now))
    return true;
  const Contract& contract = settings_.contract;
  if (instance.slowStart.isPending(contract, now))
    return deny(instance, SlowStartDenial::kNodeStarted);
  if (!instance.slowStart.admits(contract, partOf(instance, now), now))
    return deny(instance, SlowStartDenial::kBudgetUsed);
  return true;
}

bool SlowStart::admitsReserved(const RequestRecord& request, Time now) {
  Instance& instance = *request.reservation;
  if (!isLimited(instance, now) || isCounted(request, now))
    return true;
  return admits(instance, now) || deny(instance, SlowStartDenial::kReservationOld);
}

// The instance may have restarted since, without the reservation.
bool SlowStart::isCounted(const RequestRecord& request, Time now) const {
  const bool isCurrent = startOf(*request.reservation, now) <= request.reservedAt;
  return isCurrent && now - request.reservedAt <= maxTransitTime(settings_.contract);
}

void SlowStart::countAttempt(const RequestRecord& request, Instance& instance, Time now) {
  if (&instance != request.reservation || !isCounted(request, now))
    count(instance, now);
}

void SlowStart::count(Instance& instance, Time now) {
  if (!isLimited(instance, now))
    return;
  instance.slowStart.countDispatch(settings_.contract, now);
  ++instance.slowStartRecord.sent;
  ++totals_.sent;
}

bool SlowStart::deny(Instance& instance, SlowStartDenial reason) {
  const auto index = static_cast<std::size_t>(reason);
  ++instance.slowStartRecord.denied[index];
  ++totals_.denied[index];
  return false;
}

// A mixed instance that only decodes a request does less than its whole work.
void SlowStart::recordServed(const RequestRecord& request, const Instance& instance, Time now) {
  const bool wholeStep = instance.role != Role::kMixed || request.prefillInstance == &instance;
  const bool isMeasure = instance.isListed() && instance.endpoint.weight > 0;
  if (wholeStep && isMeasure && !isLimited(instance, now))
    served_.recordServed(instance.role, settings_.contract.overloadWindow, now);
}

SlowStartPart SlowStart::partOf(const Instance& instance, Time now) const {
  const Contract& contract = settings_.contract;
  const double window = inSeconds(contract.overloadWindow);
  const double limit = loadLimit(contract, startOf(instance, now), now).value_or(0);
  const double allowed = limit * ownCapacity(instance, now) * window;
  // Without any estimate, all nodes together may send one request per window.
  return {.allowedPerWindow = std::max(allowed, 1.0 / settings_.nodes),
          .requestsPerWindow = requestsPerSecond(now) * window};
}

void SlowStart::recordArrival(Time now) {
  recentArrivals_.add(1, now, settings_.contract.overloadWindow);
}

// The mean rate or, in a surge, the present one. The latest arrival is left out: it is the one for
// which an instance is being selected.
double SlowStart::requestsPerSecond(Time now) const {
  const Duration window = settings_.contract.overloadWindow;
  const Duration observedFor = std::max(now - startedAt_, window);
  const double mean = ratePerSecond(std::max(0.0, popularity_.arrivals(now) - 1), observedFor);
  const double recentArrivals = std::max(0.0, recentArrivals_.at(now, window) - 1);
  return std::max(mean, recentArrivals / inSeconds(window));
}

// This node's part of what the instance can do once it is warm, in requests per second.
double SlowStart::ownCapacity(const Instance& instance, Time now) const {
  const double weight = instance.endpoint.weight;
  const double shareOfFleet = weight / fullWeight(instance.role);
  const double allowance = allowancePerSecond(settings_);
  if (allowance > 0)
    return allowance * shareOfFleet / settings_.nodes;
  const Duration window = settings_.contract.overloadWindow;
  const std::optional<double> served = served_.ofWeight(instance.role, weight);
  if (served && now - startedAt_ >= window)
    return *served;
  return std::max(served.value_or(0),
                  ownDemand(now) * std::min(shareOfFleet, 1 / stepCount(instance.role)));
}

// While nothing can have been served yet: what this node has been asked for. A node that has just
// started does not extrapolate from its first requests, as clients may come back all at once.
double SlowStart::ownDemand(Time now) const {
  const Duration observedFor = std::max(now - startedAt_, settings_.contract.warmupDuration);
  return ratePerSecond(popularity_.arrivals(now), observedFor);
}

// The number of listed instances that do the same step; at least 1.
double SlowStart::stepCount(Role role) const {
  const double prefill = cells_.listedCount(Role::kPrefill);
  const double decode = cells_.listedCount(Role::kDecode);
  const double sameStep =
      role == Role::kMixed ? std::max(prefill, decode) : cells_.listedCount(role);
  return std::max(1.0, sameStep + cells_.listedCount(Role::kMixed));
}

// Mixed instances do both steps, so the step with more weight limits them.
double SlowStart::fullWeight(Role role) const {
  const double prefill = fullWeight_[roleIndex(Role::kPrefill)];
  const double decode = fullWeight_[roleIndex(Role::kDecode)];
  const double weight =
      role == Role::kMixed ? std::max(prefill, decode) : fullWeight_[roleIndex(role)];
  return std::max(weight, kMinDivisor);
}

// The estimated weight of the whole fleet by step, all listed and warm, and that of the warm
// instances by role.
void SlowStart::observeWeights(Time now) {
  ByRole listed{};
  ByRole limited{};
  for (const auto& [id, instance] : registry_.instances()) {
    if (!instance.isListed())
      continue;
    const std::size_t role = roleIndex(instance.role);
    listed[role] += instance.endpoint.weight;
    if (isLimited(instance, now))
      limited[role] += instance.endpoint.weight;
  }
  const std::size_t mixed = roleIndex(Role::kMixed);
  for (const Role step : {Role::kPrefill, Role::kDecode}) {
    const std::size_t role = roleIndex(step);
    const double listedWeight = listed[role] + listed[mixed];
    const double limitedWeight = limited[role] + limited[mixed];
    double weight =
        std::max(cells_.maxWarmWeight(step) + cells_.maxWarmWeight(Role::kMixed), limitedWeight);
    // A recently started node knows only the current list, so it assumes that instances are
    // missing.
    if (recentlyStarted(now))
      weight = std::max(weight, cells_.maxListedWeight()) +
               (limitedWeight < listedWeight ? 0 : kUnlistedWeight);
    fullWeight_[role] = weight;
  }
  for (const Role role : {Role::kPrefill, Role::kDecode, Role::kMixed})
    served_.setWarmWeight(role, listed[roleIndex(role)] - limited[roleIndex(role)], now);
}

void SlowStart::report(EventContext& context) {
  if (context.now() < reportAt_)
    return;
  reportAt_ = context.now() + kReportInterval;
  observeWeights(context.now());
  for (auto& [id, instance] : registry_.instances()) {
    const bool inSlowStart = instance.isListed() && isLimited(instance, context.now());
    if (inSlowStart == instance.slowStartRecord.reported)
      continue;
    instance.slowStartRecord.reported = inSlowStart;
    if (inSlowStart)
      logBegin(instance, context);
    else
      logEnd(instance, context);
  }
}

void SlowStart::logBegin(const Instance& instance, EventContext& context) const {
  const Time start = *startOf(instance, context.now());
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(context.now() - start);
  const bool isListed = instance.endpoint.started == start;
  const std::string news = isListed ? nameOf(instance.slowStartRecord.news) : "no connection";
  context.log("slow start of " + instance.endpoint.instance.value + ": started " +
              std::to_string(age.count()) + " ms ago, known by: " + news +
              ", budget here: " + std::to_string(partOf(instance, context.now()).allowedPerWindow) +
              " requests per window");
}

void SlowStart::logEnd(const Instance& instance, EventContext& context) {
  const SlowStartRecord& record = instance.slowStartRecord;
  std::string text = "slow start of " + instance.endpoint.instance.value + " over: sent " +
                     std::to_string(record.sent);
  for (std::size_t i = 0; i < record.denied.size(); ++i)
    text += std::string(", denied as ") + nameOf(static_cast<SlowStartDenial>(i)) + " " +
            std::to_string(record.denied[i]);
  context.log(text);
}

}  // namespace inference_router::routing
