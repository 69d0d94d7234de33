// Simulates a day of random traffic under one routing policy, with a queueing model of the
// instances.
#pragma once

#include <deque>
#include <queue>
#include <set>

#include "support/day_policies.h"

namespace inference_router::routing {

// Simulation of one day under one policy. Messages take one millisecond; the durations of queueing,
// prefills, KV cache transfers and streams come from the model.
class SimulatedDay {
 public:
  SimulatedDay(const DrawnDay& day, const std::function<Policy(int)>& policy, bool checked)
      : day_(day) {
    for (int n = 0; n < day.settings.nodes; ++n) {
      Settings own = day.settings;
      own.nodeIndex = n;
      own.zone = day.instances[static_cast<std::size_t>(n)].zone;  // any zone with instances
      nodes_.push_back(std::make_unique<Node>(own, policy(n), checked));
    }
    for (const EndpointRecord& entry : day.instances) {
      instanceIndex_[entry.instance] = instances_.size();
      instances_.emplace_back();
      instances_.back().entry = entry;
      instances_.back().size = &day.sizes[entry.kind.value];
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      handle(n, EndpointListUpdate{1, EndpointListForm::kFull, day.instances});
    for (const ClientRequest& clientRequest : day.clientRequests)
      at(clientRequest.at, [this, &clientRequest] { arrive(clientRequest); });
    Draw announcementDraw(day.clientRequests.size());
    for (const Change& change : day.changes) {
      at(change.at, [this, change] { applyChange(change); });
      if (change.kind != Change::kDraining && change.kind != Change::kStarted)
        continue;
      for (std::size_t n = 0; n < nodes_.size(); ++n)
        at(change.at + in(announcementDraw, 0.05, 1.5), [this, change, n] { announce(change, n); });
    }
    if (checked)
      checkInvariants();
    while (!steps_.empty() && !::testing::Test::HasFailure()) {
      const Step step = steps_.top();
      steps_.pop();
      now_ = step.at;
      step.what();
    }
    for (const auto& node : nodes_)
      node->checkInvariants(now_ + 1s);  // no request may be unanswered
  }

  double served() const {  // earned share of the total priority weight
    double earned = 0, all = 0;
    for (const ClientRequest& clientRequest : day_.clientRequests) {
      const ClassSettings& cls = day_.settings.classes[clientRequest.arrival.cls.value];
      const Duration latencyObjective =
          cls.latencyObjective +
          span(secondsOf(cls.latencyObjectivePer1000) * clientRequest.arrival.promptTokens / 1000);
      const RequestProgress& progress = progress_.at(clientRequest.arrival.request);
      all += cls.priorityWeight;
      if (progress.served)
        earned += cls.priorityWeight * (progress.first - start(clientRequest.at) <= latencyObjective
                                            ? 1
                                            : cls.lateWeightShare);
    }
    return all > 0 ? earned / all : 0;
  }

  std::size_t unanswered() const {
    return static_cast<std::size_t>(
        std::count_if(progress_.begin(), progress_.end(), [this](const auto& entry) {
          return nodes_[static_cast<std::size_t>(entry.second.clientRequest->node)]->isUnanswered(
              entry.first);
        }));
  }
  std::size_t attemptsOf(const RequestId& id) const {
    const auto it = attemptsSent_.find(id);
    return it == attemptsSent_.end() ? 0 : static_cast<std::size_t>(it->second);
  }

  // The largest number of attempts in any window at an instance in slow start, minus the allowed
  // number.
  double maxSlowStartExcess() const {
    const Contract& contract = day_.settings.contract;
    const double window = secondsOf(contract.overloadWindow);
    double maxExcess = -HUGE_VAL;
    for (const Instance& instance : instances_)
      for (std::size_t i = 0; i < instance.slowStartAttempts.size(); ++i) {
        std::size_t count = 0;
        while (i + count < instance.slowStartAttempts.size() &&
               instance.slowStartAttempts[i + count] - instance.slowStartAttempts[i] <
                   contract.overloadWindow)
          ++count;
        const double share =
            std::clamp(secondsOf(instance.slowStartAttempts[i] - *instance.entry.started) /
                           secondsOf(contract.warmupDuration),
                       contract.warmupInitialShare, 1.0);
        const double n = contract.overloadFactor * share * capacity(instance) * window;
        maxExcess = std::max(maxExcess, static_cast<double>(count) - (n + 2 * std::sqrt(n) + 2));
      }
    return maxExcess;
  }

 private:
  struct Instance {
    EndpointRecord entry;
    const InstanceSize* size = nullptr;
    bool reachable = true, acceptsRequests = true;
    std::set<std::string> cachedPrefixes;
    std::deque<int> waiting;              // jobs
    int busySlots = 0;                    // including reservations
    double tokens = 0;                    // memory in use by them
    std::vector<Time> slowStartAttempts;  // attempts while it was in slow start
  };
  struct RequestProgress {
    const ClientRequest* clientRequest;
    Instance *state = nullptr, *reservation = nullptr;
    bool served = false;
    Time first{};
  };
  struct Job {  // an attempt in flight
    RequestProgress* progress;
    Instance* instance;
    int n;
    Time sentAt;
    bool begun = false, streams = false;
  };
  struct Step {
    Time at;
    int order;
    std::function<void()> what;
    bool operator<(const Step& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static Time start(double seconds) { return Time(5s) + span(seconds); }
  void at(double seconds, std::function<void()> what) {
    steps_.push({start(seconds), ++lastOrder_, std::move(what)});
  }
  void after(Duration wait, std::function<void()> what) {
    steps_.push({now_ + wait, ++lastOrder_, std::move(what)});
  }
  void later(double seconds, int job, void (SimulatedDay::*what)(int)) {
    after(span(seconds), [this, job, what] {
      if (jobs_.count(job) != 0)
        (this->*what)(job);
    });
  }
  Role roleOf(const Instance& instance) const {
    return day_.settings.kinds[instance.entry.kind.value].role;
  }
  Instance& instanceOf(const InstanceId& id) { return instances_[instanceIndex_.at(id)]; }
  const Arrival& arrival(const Job& job) const { return job.progress->clientRequest->arrival; }
  bool isInSlowStart(const Instance& instance) const {
    return instance.entry.started &&
           now_ - *instance.entry.started < day_.settings.contract.warmupDuration;
  }
  double warmFraction(const Instance& instance) const {
    if (!isInSlowStart(instance))
      return 1;
    return std::max(day_.settings.contract.warmupInitialShare,
                    secondsOf(now_ - *instance.entry.started) /
                        secondsOf(day_.settings.contract.warmupDuration));
  }
  double capacity(const Instance& instance) const {  // requests a second, when warm
    const double prefillsPerSecond = instance.size->prefillRate *
                                     static_cast<double>(std::max(1, prefills_)) /
                                     std::max(1.0, prefilledTokens_);
    const double decodesPerSecond =
        instance.size->slots / std::max(0.1, streamSeconds_ / std::max(1, streams_));
    switch (roleOf(instance)) {
      case Role::kPrefill:
        return prefillsPerSecond;
      case Role::kDecode:
        return decodesPerSecond;
      case Role::kMixed:
        break;
    }
    return std::min(prefillsPerSecond, decodesPerSecond);
  }

  void checkInvariants() {
    for (const auto& node : nodes_)
      node->checkInvariants(now_);
    if (now_ < start(DrawnDay::kLength + 1))
      after(10ms, [this] { checkInvariants(); });
  }
  void handle(std::size_t node, const Event& event) {
    for (const Action& action : nodes_[node]->handle(now_, event))
      std::visit([this, node](const auto& act) { carryOut(node, act); }, action);
  }
  template <class Act>
  void carryOut(std::size_t, const Act&) {}
  void carryOut(std::size_t node, const SetTimer& timer) {
    after(timer.delay, [this, node, n = timer.timer] { handle(node, TimerFired{n}); });
  }
  void carryOut(std::size_t, const DispatchAttempt& send) {
    RequestProgress& progress = progress_.at(send.request);
    Instance& instance = instanceOf(send.instance);
    const int job = ++lastOrder_;
    const int n = attemptsSent_[send.request]++;
    jobs_[job] = {&progress, &instance, n, now_};
    if (isInSlowStart(instance))
      instance.slowStartAttempts.push_back(now_);
    if (progress.reservation != nullptr && progress.reservation != &instance &&
        roleOf(instance) != Role::kPrefill)
      freeReservation(progress);
    const Time until = std::min(send.timeoutAt, start(progress.clientRequest->at) +
                                                    progress.clientRequest->arrival.timeLeft);
    later(secondsOf(until - now_), job, &SimulatedDay::timeOut);
    if (instance.reachable)
      later(0.001, job, &SimulatedDay::reach);
    else
      later(secondsOf(day_.settings.limits.connectTimeout), job, &SimulatedDay::failConnect);
  }
  void carryOut(std::size_t node, const ReserveDecode& reserve) {
    after(1ms, [this, node, reserve] {
      RequestProgress& progress = progress_.at(reserve.request);
      Instance& instance = instanceOf(reserve.instance);
      freeReservation(progress);
      const bool granted = instance.reachable && instance.acceptsRequests &&
                           instance.waiting.empty() && fits(instance, progress);
      if (granted) {
        take(instance, progress);
        progress.reservation = &instance;
      }
      for (const auto& [number, job] : jobs_)
        if (job.progress == &progress && instance.reachable)
          return handle(node, ReservationResult{reserve.request, job.n, reserve.instance, granted});
      freeReservation(progress);  // its prefill has ended
    });
  }
  void carryOut(std::size_t, const ReleaseState& release) {
    after(1ms, [this, id = release.request] {
      RequestProgress& progress = progress_.at(id);
      for (const auto& [number, job] : jobs_)
        if (job.progress == &progress)
          return;
      freeReservation(progress);
      progress.state = nullptr;
    });
  }
  void carryOut(std::size_t, const CancelAttempt& cancel) {
    for (const auto& [number, job] : jobs_)
      if (arrival(job).request == cancel.request && job.n == cancel.attempt && !job.streams)
        return later(0, number, &SimulatedDay::cancelled);
  }

  void arrive(const ClientRequest& clientRequest) {
    progress_[clientRequest.arrival.request].clientRequest = &clientRequest;
    const auto node = static_cast<std::size_t>(clientRequest.node);
    if (clientRequest.leaves)
      after(clientRequest.arrival.timeLeft / 3, [this, node, id = clientRequest.arrival.request] {
        if (nodes_[node]->isUnanswered(id))
          handle(node, RequestAbandoned{id});
      });
    handle(node, clientRequest.arrival);
  }

  // ---- Instances

  double memoryOf(const Instance& instance) const {
    return day_.settings.kinds[instance.entry.kind.value].memoryTokens;
  }
  double need(const RequestProgress& progress) const {
    return progress.clientRequest->arrival.promptTokens + progress.clientRequest->answer;
  }
  bool fits(const Instance& instance, const RequestProgress& progress) const {
    if (instance.busySlots >= instance.size->slots)
      return false;
    return roleOf(instance) == Role::kPrefill || instance.busySlots == 0 ||
           instance.tokens + need(progress) <= memoryOf(instance);
  }
  void take(Instance& instance, const RequestProgress& progress) {
    ++instance.busySlots;
    instance.tokens += need(progress);
  }
  void release(Instance& instance, const RequestProgress& progress) {
    --instance.busySlots;
    instance.tokens -= need(progress);
    serve(instance);
  }
  void freeReservation(RequestProgress& progress) {
    if (progress.reservation != nullptr)
      release(*std::exchange(progress.reservation, nullptr), progress);
  }
  void reach(int number) {
    Job& job = jobs_.at(number);
    Instance& instance = *job.instance;
    if (!instance.reachable)
      return;  // the instance does not respond
    if (job.progress->reservation == &instance) {
      job.progress->reservation = nullptr;
      return begin(number);
    }
    const bool state = job.progress->state != nullptr && job.progress->state->reachable;
    if (roleOf(instance) == Role::kDecode && !state && !day_.settings.decodeCanPrefill)
      return end(number, AttemptOutcome::kRejected, 0, true);
    const bool tooLong = arrival(job).promptTokens > memoryOf(instance);
    if (tooLong || !instance.acceptsRequests ||
        static_cast<int>(instance.waiting.size()) >= instance.size->queue)
      return end(number, AttemptOutcome::kRejected);
    instance.waiting.push_back(number);
    serve(instance);
  }
  void serve(Instance& instance) {
    while (!instance.waiting.empty()) {
      const auto job = jobs_.find(instance.waiting.front());
      if (job != jobs_.end() && !fits(instance, *job->second.progress))
        return;
      instance.waiting.pop_front();
      if (job == jobs_.end())
        continue;
      take(instance, *job->second.progress);
      begin(job->first);
    }
  }
  // Concurrent prefills share the rate if the instance size says so.
  double prefillRateOf(const Instance& instance) const {
    return instance.size->prefillRate * warmFraction(instance) /
           (instance.size->sharesPrefillRate ? std::max(1, instance.busySlots) : 1);
  }
  double uncachedTokens(const Job& job) const {
    const bool cached = job.instance->cachedPrefixes.count(arrival(job).prefix) != 0;
    return arrival(job).promptTokens - (cached ? arrival(job).prefixTokens : 0);
  }
  // Transfer rate of KV caches between two instances, in tokens per second.
  static double transferRate(const Instance& from, const Instance& to) {
    if (&from == &to)
      return 1e9;
    if (from.entry.cell == to.entry.cell)
      return 300'000;
    return from.entry.zone == to.entry.zone ? 120'000 : 50'000;
  }
  void begin(int number) {
    Job& job = jobs_.at(number);
    job.begun = true;
    const Instance* from = job.progress->state;
    if (roleOf(*job.instance) == Role::kPrefill || from == nullptr || !from->reachable)
      return later(uncachedTokens(job) / prefillRateOf(*job.instance), number,
                   &SimulatedDay::finishPrefill);
    const double perSecond = transferRate(*from, *job.instance);
    later(arrival(job).promptTokens / perSecond, number, &SimulatedDay::open);
  }
  void finishPrefill(int number) {
    Job& job = jobs_.at(number);
    const double uncached = uncachedTokens(job);
    ++prefills_;
    prefilledTokens_ += uncached;
    job.instance->cachedPrefixes.insert(arrival(job).prefix);
    if (roleOf(*job.instance) != Role::kPrefill)
      return open(number);
    job.progress->state =
        job.progress->reservation != nullptr ? job.progress->reservation : job.instance;
    end(number, AttemptOutcome::kPrefilled, arrival(job).promptTokens - uncached);
  }
  void open(int number) {
    Job& job = jobs_.at(number);
    job.progress->state = nullptr;
    job.streams = true;
    job.progress->first = now_;
    const double gap =
        secondsOf(day_.settings.classes[arrival(job).cls.value].tokenIntervalObjective) / 2;
    ++streams_;
    streamSeconds_ += job.progress->clientRequest->answer * gap;
    later(job.progress->clientRequest->answer * gap, number, &SimulatedDay::completeStream);
    handle(nodeOf(job), StreamOpened{arrival(job).request, job.n, job.instance->entry.instance,
                                     now_ - job.sentAt});
  }
  std::size_t nodeOf(const Job& job) const {
    return static_cast<std::size_t>(job.progress->clientRequest->node);
  }

  void completeStream(int number) {
    jobs_.at(number).progress->served = true;
    end(number, AttemptOutcome::kServed);
  }
  void failConnect(int number) { end(number, AttemptOutcome::kConnectFailed); }
  void cancelled(int number) { end(number, AttemptOutcome::kCancelled); }
  void timeOut(int number) {
    if (!jobs_.at(number).streams)
      end(number, AttemptOutcome::kTimeout);
  }
  void end(int number, AttemptOutcome outcome, double cachedTokens = 0, bool kvCacheLost = false) {
    const Job job = jobs_.at(number);
    jobs_.erase(number);
    if (job.begun)
      release(*job.instance, *job.progress);
    handle(nodeOf(job), AttemptEnded{arrival(job).request,
                                     job.n,
                                     job.instance->entry.instance,
                                     outcome,
                                     now_ - job.sentAt,
                                     false,
                                     cachedTokens,
                                     kvCacheLost,
                                     {}});
  }

  // ---- Faults

  void applyChange(const Change& change) {
    Instance& instance = instances_[change.instance];
    if (change.kind == Change::kCacheCleared)
      instance.cachedPrefixes.clear();
    if (change.kind == Change::kUnreachable || change.kind == Change::kReachable)
      instance.reachable = change.kind == Change::kReachable;
    if (change.kind == Change::kDraining)
      instance.acceptsRequests = false;
    if (change.kind == Change::kStarted) {
      instance.reachable = instance.acceptsRequests = true;
      instance.entry.started = now_;
    }
    if (change.kind != Change::kStopped)
      return;
    instance.reachable = false;
    instance.cachedPrefixes.clear();
    std::vector<int> lost;
    for (const auto& [number, job] : jobs_)
      if (job.instance == &instance && !job.streams)
        lost.push_back(number);  // open streams are completed before the instance ends
    for (auto& [id, progress] : progress_) {
      if (progress.reservation == &instance)
        freeReservation(progress);
      if (progress.state == &instance)
        progress.state = nullptr;
    }
    for (const int number : lost)
      end(number, AttemptOutcome::kConnectionLost);
  }
  void announce(const Change& change, std::size_t node) {
    EndpointRecord entry = instances_[change.instance].entry;
    entry.state =
        change.kind == Change::kDraining ? EndpointState::kDraining : EndpointState::kActive;
    handle(node, EndpointListUpdate{++version_, EndpointListForm::kChanges, {entry}});
  }

  const DrawnDay& day_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Instance> instances_;
  std::map<InstanceId, std::size_t> instanceIndex_;
  std::map<RequestId, RequestProgress> progress_;
  std::map<RequestId, int> attemptsSent_;
  std::map<int, Job> jobs_;
  std::priority_queue<Step> steps_;
  Time now_{5s};
  std::uint64_t version_ = 1;
  int lastOrder_ = 0, prefills_ = 0, streams_ = 0;
  double prefilledTokens_ = 0, streamSeconds_ = 0;
};

}  // namespace inference_router::routing
