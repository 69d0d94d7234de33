#include "coordination/runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace inference_router::coordination {

namespace {

// Reads that may fail or be late before the view counts as outdated.
constexpr double kMaxMissedReads = 4;
constexpr double kMinTickIntervalMs = 1;

/// Candidates send requests all the time; only these states are worth a line in the log.
bool worthLogging(LeaseState state) {
  return state != LeaseState::kCandidate && state != LeaseState::kAcquiring &&
         state != LeaseState::kBackingOff;
}

}  // namespace

Runner::Runner(Parts parts,
               Holder holder,
               std::uint64_t seed,
               LeaseConfig config,
               double pollIntervalMs)
    : parts_(parts),
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
  Lease lease(config, holder_, seed, parts_.clock.nowMs());
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
    managed->lease.resign(parts_.clock.nowMs());
  scheduleNextTick();
}

void Runner::rejoin() {
  for (const auto& managed : tasks_)
    managed->lease.rejoin(parts_.clock.nowMs());
  scheduleNextTick();
}

bool Runner::fullyReleased() const {
  return std::all_of(tasks_.begin(), tasks_.end(),
                     [](const auto& managed) { return managed->lease.fullyReleased(); });
}

bool Runner::storeReadable() const {
  const double maxAgeMs = pollIntervalMs_ * kMaxMissedReads + config_.requestTimeoutMs;
  return storeError_.empty() && parts_.clock.nowMs() - view_.readMs <= maxAgeMs;
}

bool Runner::holdsAny(double nowMs) const {
  return std::any_of(tasks_.begin(), tasks_.end(),
                     [nowMs](const auto& managed) { return managed->lease.withinValidity(nowMs); });
}

// ---- Ticks

void Runner::tick() {
  if (parts_.clock.nowMs() >= nextReadMs_)
    readStore();
  for (const auto& managed : tasks_) {
    requestLease(*managed);
    beginStep(*managed);
    onLeaseChange(*managed);
  }
  scheduleNextTick();
}

void Runner::scheduleNextTick() {
  const double now = parts_.clock.nowMs();
  double next = reading_ ? HUGE_VAL : nextReadMs_;
  for (const auto& managed : tasks_) {
    next = std::min(next, managed->lease.nextMs());
    if (managed->lease.withinValidity(now))
      next = std::min(next, managed->nextStepMs);
  }
  if (next == HUGE_VAL)
    next = now + pollIntervalMs_;
  nextTick_.cancel();
  nextTick_ = parts_.timers.schedule(std::max(next, now + kMinTickIntervalMs), [this] { tick(); });
}

void Runner::requestLease(ManagedTask& managed) {
  const auto request = managed.lease.tick(parts_.clock.nowMs());
  if (!request)
    return;
  ++parts_.counters["leases.asked"];
  parts_.store.requestLease(*request, guard_.wrap([this, &managed](const LeaseResponse& response) {
    managed.lease.onResponse(response, parts_.clock.nowMs());
    onLeaseChange(managed);
    scheduleNextTick();
  }));
}

// ---- Steps

void Runner::beginStep(ManagedTask& managed) {
  const double now = parts_.clock.nowMs();
  // A step by an outdated view would be refused by the store, and cost a call.
  if (!managed.lease.withinValidity(now) || now < managed.nextStepMs || !storeReadable())
    return;
  if (!viewComplete_)
    return readStore();  // no lease was held at the last read
  managed.nextStepMs = now + managed.task->config().periodMs;
  const auto step = managed.task->next(view_, managed.lease.fence(), now);
  if (!step)
    return managed.lease.markIdle(now);
  const auto fence = managed.lease.beginStep(now);
  if (!fence)
    return;
  parts_.store.commit(*fence, step->writes,
                      guard_.wrap([this, &managed, step = *step](const CommitResponse& response) {
                        onCommitted(managed, step, response);
                      }));
}

void Runner::onCommitted(ManagedTask& managed, const Step& step, const CommitResponse& response) {
  const double now = parts_.clock.nowMs();
  const bool done = response.status == CommitStatus::kDone;
  const bool routine = managed.task->config().quiet && done;
  spdlog::log(routine ? spdlog::level::debug : spdlog::level::info,
              "step task={} fence={} answer={} revision={} what=\"{}\"", managed.name(),
              managed.lease.fence(), nameOf(response.status), response.revision, step.description);
  if (response.status == CommitStatus::kStaleFence) {
    ++managed.refusedByFence;
    ++parts_.counters["leases.refused_by_fence"];
    managed.lease.onFenceRefused(now);
  } else {
    managed.lease.endStep(done, now);
  }
  if (done) {
    ++managed.steps;
    ++parts_.counters["tasks.steps"];
  }
  // Until what was written is read, the next step would rest on what was there before.
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
  const double now = parts_.clock.nowMs();
  nextReadMs_ = now + pollIntervalMs_;
  const bool complete = !keys_ || holdsAny(now);
  auto callback = guard_.wrap(
      [this, now, complete](const ReadResponse& response) { onRead(response, now, complete); });
  if (complete)
    parts_.store.readAll(std::move(callback));
  else
    parts_.store.read(keys_(), std::move(callback));
}

void Runner::onRead(const ReadResponse& response, double requestedMs, bool complete) {
  reading_ = false;
  logReadability(response);
  storeError_ = response.error;
  ++parts_.counters[response.ok ? "coordination.read" : "coordination.unread"];
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
    spdlog::info("coordination: the store is read again");
  else
    spdlog::warn("coordination: the store cannot be read: {}", response.error);
}

void Runner::updateView(const ReadResponse& response, double requestedMs, bool complete) {
  // The store was restored from an older state.
  if (response.revision < view_.revision) {
    ++parts_.counters["coordination.went_back"];
    spdlog::error("coordination: the store went back from revision {} to {}", view_.revision,
                  response.revision);
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
    if (worthLogging(lease.state()) || worthLogging(managed.loggedState))
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
  auto& counters = parts_.counters;
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
  report.store = parts_.store.describe();
  report.storeReadable = storeReadable();
  report.storeError = storeError_;
  for (const auto& managed : tasks_)
    report.leases.push_back(statusOf(*managed, parts_.clock.nowMs()));
  return asJson ? toJsonText(report) : toText(report);
}

}  // namespace inference_router::coordination
