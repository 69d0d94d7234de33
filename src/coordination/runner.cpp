#include "coordination/runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace inference_router::coordination {

namespace {

// Number of poll intervals without a successful read after which the view counts as outdated.
constexpr double kMaxMissedReads = 4;
constexpr double kMinTickIntervalMs = 1;

/// Whether a change from or to this state is logged. The other states change with every request of
/// a candidate and would flood the log.
bool isLogged(LeaseState state) {
  return state != LeaseState::kCandidate && state != LeaseState::kAcquiring &&
         state != LeaseState::kBackingOff;
}

}  // namespace

Runner::Runner(Dependencies dependencies,
               Holder holder,
               std::uint64_t seed,
               LeaseConfig config,
               double pollIntervalMs)
    : dependencies_(dependencies),
      holder_(std::move(holder)),
      seed_(seed),
      config_(std::move(config)),
      pollIntervalMs_(pollIntervalMs) {}

void Runner::add(std::unique_ptr<FleetTask> task) {
  LeaseConfig config = config_;
  config.task = task->config().name;
  config.maxStepMs = task->config().maxStepMs;
  if (const auto error = validate(config))
    throw std::invalid_argument("task " + config.task + ": " + error->message);
  const std::uint64_t seed = seed_ + std::hash<std::string>()(config.task);
  Lease lease(config, holder_, seed, dependencies_.clock.nowMs());
  tasks_.push_back(std::make_unique<ManagedTask>(std::move(task), std::move(lease)));
}

void Runner::start() {
  tick();
}

void Runner::setCandidateCount(std::size_t count) {
  for (const auto& managed : tasks_)
    managed->lease.setCandidateCount(count);
}

void Runner::resign() {
  for (const auto& managed : tasks_)
    managed->lease.resign(dependencies_.clock.nowMs());
  scheduleNextTick();
}

void Runner::rejoin() {
  for (const auto& managed : tasks_)
    managed->lease.rejoin(dependencies_.clock.nowMs());
  scheduleNextTick();
}

bool Runner::fullyReleased() const {
  return std::all_of(tasks_.begin(), tasks_.end(),
                     [](const auto& managed) { return managed->lease.fullyReleased(); });
}

bool Runner::storeReadable() const {
  const double maxAgeMs = pollIntervalMs_ * kMaxMissedReads + config_.requestTimeoutMs;
  return storeError_.empty() && dependencies_.clock.nowMs() - view_.readMs <= maxAgeMs;
}

bool Runner::holdsAny(double nowMs) const {
  return std::any_of(tasks_.begin(), tasks_.end(),
                     [nowMs](const auto& managed) { return managed->lease.withinValidity(nowMs); });
}

// ---- Ticks

void Runner::tick() {
  if (dependencies_.clock.nowMs() >= nextReadMs_)
    readStore();
  for (const auto& managed : tasks_) {
    requestLease(*managed);
    beginStep(*managed);
    onLeaseChange(*managed);
  }
  scheduleNextTick();
}

void Runner::scheduleNextTick() {
  const double now = dependencies_.clock.nowMs();
  double next = reading_ ? HUGE_VAL : nextReadMs_;
  for (const auto& managed : tasks_) {
    next = std::min(next, managed->lease.nextMs());
    if (managed->lease.withinValidity(now))
      next = std::min(next, managed->nextStepMs);
  }
  if (next == HUGE_VAL)
    next = now + pollIntervalMs_;
  nextTick_.cancel();
  nextTick_ =
      dependencies_.timers.schedule(std::max(next, now + kMinTickIntervalMs), [this] { tick(); });
}

void Runner::requestLease(ManagedTask& managed) {
  const auto request = managed.lease.tick(dependencies_.clock.nowMs());
  if (!request)
    return;
  ++dependencies_.counters["leases.asked"];
  dependencies_.store.requestLease(
      *request, guard_.wrap([this, &managed](const LeaseResponse& response) {
        managed.lease.onResponse(response, dependencies_.clock.nowMs());
        onLeaseChange(managed);
        scheduleNextTick();
      }));
}

// ---- Steps

void Runner::beginStep(ManagedTask& managed) {
  const double now = dependencies_.clock.nowMs();
  // The store would refuse a step based on an outdated view, which would waste a call.
  if (!managed.lease.withinValidity(now) || now < managed.nextStepMs || !storeReadable())
    return;
  if (!viewComplete_)
    return readStore();  // the last read, without a lease, was limited to the selected documents
  managed.nextStepMs = now + managed.task->config().periodMs;
  const auto step = managed.task->next(view_, managed.lease.fence(), now);
  if (!step)
    return managed.lease.markIdle(now);
  const auto fence = managed.lease.beginStep(now);
  if (!fence)
    return;
  dependencies_.store.commit(
      *fence, step->writes,
      guard_.wrap([this, &managed, step = *step](const CommitResponse& response) {
        onCommitted(managed, step, response);
      }));
}

void Runner::onCommitted(ManagedTask& managed, const Step& step, const CommitResponse& response) {
  const double now = dependencies_.clock.nowMs();
  const bool done = response.status == CommitStatus::kDone;
  const bool routine = managed.task->config().quiet && done;
  spdlog::log(routine ? spdlog::level::debug : spdlog::level::info,
              "step task={} fence={} answer={} revision={} what=\"{}\"", managed.name(),
              managed.lease.fence(), nameOf(response.status), response.revision, step.description);
  if (response.status == CommitStatus::kStaleFence) {
    ++managed.refusedByFence;
    ++dependencies_.counters["leases.refused_by_fence"];
    managed.lease.onFenceRefused(now);
  } else {
    managed.lease.endStep(done, now);
  }
  if (done) {
    ++managed.steps;
    ++dependencies_.counters["tasks.steps"];
  }
  // Delays the next step until the written documents have been read; before that it would be based
  // on the old ones.
  managed.nextStepMs = now + managed.task->config().periodMs;
  onLeaseChange(managed);
  refresh();
}

// ---- Reads

void Runner::refresh() {
  readStore();
}

void Runner::readStore() {
  if (reading_) {
    readAgain_ = true;
    return;
  }
  reading_ = true;
  const double now = dependencies_.clock.nowMs();
  nextReadMs_ = now + pollIntervalMs_;
  const bool complete = !keys_ || holdsAny(now);
  auto callback = guard_.wrap(
      [this, now, complete](const ReadResponse& response) { onRead(response, now, complete); });
  if (complete)
    dependencies_.store.readAll(std::move(callback));
  else
    dependencies_.store.read(keys_(), std::move(callback));
}

void Runner::onRead(const ReadResponse& response, double requestedMs, bool complete) {
  reading_ = false;
  logReadability(response);
  storeError_ = response.error;
  ++dependencies_.counters[response.ok ? "coordination.read" : "coordination.unread"];
  if (response.ok)
    updateView(response, requestedMs, complete);
  if (std::exchange(readAgain_, false))
    readStore();
  scheduleNextTick();
}

void Runner::logReadability(const ReadResponse& response) const {
  if (response.ok == storeError_.empty() && response.error == storeError_)
    return;
  if (response.ok)
    spdlog::info("coordination: the store is readable again");
  else
    spdlog::warn("coordination: the store cannot be read, retrying at the next poll: {}",
                 response.error);
}

void Runner::updateView(const ReadResponse& response, double requestedMs, bool complete) {
  // A revision that decreases means that the store was restored from an older state.
  if (response.revision < view_.revision) {
    ++dependencies_.counters["coordination.went_back"];
    spdlog::error(
        "coordination: the store's revision decreased from {} to {}; it was restored from an "
        "older state",
        view_.revision, response.revision);
  }
  view_ = {response.documents, response.revision, requestedMs};
  viewComplete_ = complete;
  if (viewCallback_)
    viewCallback_(view_, complete);
}

// ---- Logs and reports

void Runner::onLeaseChange(ManagedTask& managed) {
  const Lease& lease = managed.lease;
  if (lease.state() != managed.loggedState) {
    if (isLogged(lease.state()) || isLogged(managed.loggedState))
      spdlog::info("lease task={} state={} fence={} why=\"{}\"", managed.name(),
                   nameOf(lease.state()), lease.fence(), lease.reason());
    managed.loggedState = lease.state();
  }
  publishCounts();
}

void Runner::publishCounts() {
  Lease::Counts sum;
  for (const auto& managed : tasks_) {
    const Lease::Counts& counts = managed->lease.counts();
    sum.acquired += counts.acquired;
    sum.renewed += counts.renewed;
    sum.lost += counts.lost;
    sum.steppedDown += counts.steppedDown;
    sum.released += counts.released;
    sum.rolledBack += counts.rolledBack;
    sum.doubtfulMs += counts.doubtfulMs;
  }
  auto& counters = dependencies_.counters;
  counters["leases.acquired"] = sum.acquired;
  counters["leases.renewed"] = sum.renewed;
  counters["leases.lost"] = sum.lost;
  counters["leases.gave_way"] = sum.steppedDown;
  counters["leases.released"] = sum.released;
  counters["leases.went_back"] = sum.rolledBack;
  counters["leases.doubtful_ms"] = static_cast<std::uint64_t>(sum.doubtfulMs);
}

LeaseStatus Runner::statusOf(const ManagedTask& managed, double nowMs) const {
  const Lease& lease = managed.lease;
  const auto& record = lease.lastRecord();
  LeaseStatus status;
  status.task = managed.name();
  status.state = lease.state();
  status.reason = lease.reason();
  if (record) {
    status.holder = record->holder.name;
    status.fence = record->fence;
    if (record->acquiredUnixMs > 0)
      status.heldSeconds = std::max(0.0, nowMs - record->acquiredUnixMs) / 1000;
  }
  if (lease.withinValidity(nowMs)) {
    status.holder = holder_.name;
    status.fence = lease.fence();
    status.renewalInMs = std::max(0.0, lease.nextRenewalMs() - nowMs);
  }
  status.stateSeconds = (nowMs - lease.stateSinceMs()) / 1000;
  status.steps = managed.steps;
  status.refusedByFence = managed.refusedByFence;
  status.counts = lease.counts();
  return status;
}

std::string Runner::report(bool asJson) const {
  LeaseReport report;
  report.router = holder_.name;
  report.store = dependencies_.store.describe();
  report.storeReadable = storeReadable();
  report.storeError = storeError_;
  for (const auto& managed : tasks_)
    report.leases.push_back(statusOf(*managed, dependencies_.clock.nowMs()));
  return asJson ? toJsonText(report) : toText(report);
}

}  // namespace inference_router::coordination
