// Implementation of the router of one node. Each event first updates the state; then queued
// requests are processed, which emits further actions. The phases of a request are kWaiting,
// kPrefilling, kPrefilled, kDecoding, kStreaming and kFinished (see RequestLifecycle).
#include "inference_router/router.h"

#include <algorithm>
#include <chrono>

#include "routing/attempt_dispatcher.h"
#include "routing/cell_plan.h"
#include "routing/constants.h"
#include "routing/decode_capacity.h"
#include "routing/decode_prefill_selector.h"
#include "routing/decode_selector.h"
#include "routing/event_context.h"
#include "routing/graceful_shutdown.h"
#include "routing/instance_availability.h"
#include "routing/instance_registry.h"
#include "routing/key_popularity.h"
#include "routing/latency_objective.h"
#include "routing/load_shedder.h"
#include "routing/outcome_recorder.h"
#include "routing/outlier_detector.h"
#include "routing/prefill_selector.h"
#include "routing/request_lifecycle.h"
#include "routing/request_queue.h"
#include "routing/request_record.h"
#include "routing/retry_policy.h"
#include "routing/selection_inputs.h"
#include "routing/service_estimates.h"
#include "routing/slow_start.h"
#include "routing/straggler_detector.h"

namespace inference_router::routing {
namespace {

// Backoff between attempts to obtain the endpoint list.
constexpr Duration kEndpointPollBackoff = std::chrono::seconds{1};

}  // namespace

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(settings),
        settingsError_(validate(settings)),
        registry_(settings_, std::to_string(seed)),
        decodeSelector_(selectionInputs_, std::to_string(seed)) {}

  void reconfigure(const Settings& settings) {
    settings_ = settings;
    settingsError_ = validate(settings);
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    EventContext context(now, actions);
    if (!started_)
      start(context);
    std::visit([&](const auto& received) { on(received, context); }, event);
    // Before the queue, so that a request that gets its final answer here is not dispatched as
    // well.
    if (shutdown_.hasBegun())
      continueShutdown(context);
    processQueue(context);
    slowStart_.report(context);
    pollEndpoints(context);
    armTimer(context);
  }

  bool avoids(Time now, const InstanceId& id) {
    const Instance* instance = registry_.find(id);
    return instance != nullptr && instance->isListed() &&
           (instance->ejection.ejected || availability_.isSilent(*instance, now));
  }

  const SlowStartTotals& slowStartTotals() const { return slowStart_.totals(); }

 private:
  void start(EventContext& context) {
    started_ = true;
    slowStart_.start(context.now());
    if (settingsError_)
      context.log("unusable settings: " + describe(*settingsError_));
    if (settings_.discovery == Discovery::kPoll)
      context.emit(SubscribeEndpoints{});
  }

  void on(const EndpointListUpdate& update, EventContext& context) {
    if (update.form == EndpointListForm::kFailed) {
      pollEndpointsAt_ = context.now() + kEndpointPollBackoff;
      return;
    }
    registry_.apply(update, context.now());
    registry_.eraseRemoved(requests_, context.now());
    cells_.update(registry_.instances(), settings_, context.now());
    slowStart_.endpointsChanged(context.now());
  }

  void on(const Arrival& arrival, EventContext& context) {
    if (settingsError_ || arrival.cls.value >= settings_.classes.size()) {
      context.emit(FailRequest{arrival.request});
      return;
    }
    auto [found, added] = requests_.try_emplace(arrival.request);
    if (!added)
      return;
    RequestRecord& request = found->second;
    request.arrival = arrival;
    request.arrivedAt = context.now();
    request.deadline = context.now() + arrival.timeLeft;
    request.objectiveAt = objectiveFor(arrival, classOf(settings_, request), context.now());
    popularity_.count(affinityKey(request), context.now());
    slowStart_.recordArrival(context.now());
    retryBudget_.recordArrival(popularity_.arrivals(context.now()));
    if (shutdown_.rejectsArrivals(settings_.streamResumption, context.now()))
      lifecycle_.finish(request, context);
    else
      lifecycle_.checkAdmission(request, context);
    eraseIfFinished(arrival.request);
  }

  void on(const StreamOpened& opened, EventContext& context) {
    RequestRecord* request = findRequest(opened.request);
    AttemptRecord* attempt = request == nullptr ? nullptr : request->attempt(opened.attempt);
    if (attempt == nullptr)
      return;
    outcomes_.recordFirstToken(*attempt, opened.took, requests_, context);
    if (request->phase == Phase::kFinished)
      return;
    request->phase = Phase::kStreaming;
    request->firstTokenAt = context.now();
    request->holdsRemoteState = false;
    capacity_.reserve(*request, *attempt->instance);
  }

  void on(const ReservationResult& result, EventContext& context) {
    RequestRecord* request = findRequest(result.request);
    if (request == nullptr || request->reservation == nullptr || result.granted)
      return;
    if (request->reservation->endpoint.instance == result.instance)
      dispatcher_.handleRejectedReservation(*request, context);
  }

  void on(const StreamAdopted& stream, EventContext& context) {
    Instance* instance = registry_.find(stream.instance);
    if (instance == nullptr)
      return;
    RequestRecord& request = requests_[stream.arrival.request];
    request.arrival = stream.arrival;
    request.arrivedAt = context.now();
    request.deadline = context.now();
    request.objectiveAt = context.now();
    request.firstTokenAt = context.now();
    request.phase = Phase::kStreaming;
    request.attempts.assign(1, {instance, context.now(), true, 0, false});
    capacity_.reserve(request, *instance);
  }

  void on(const AttemptEnded& ended, EventContext& context) {
    RequestRecord* request = findRequest(ended.request);
    AttemptRecord* attempt = request == nullptr ? nullptr : request->attempt(ended.attempt);
    if (attempt == nullptr || !attempt->inFlight)
      return;
    Instance& instance = *attempt->instance;
    outcomes_.recordEnd(*request, *attempt, ended, requests_, context);
    if (ended.outcome == AttemptOutcome::kConnectFailed)
      SlowStart::recordConnectFailure(instance, context.now());
    if (ended.outcome == AttemptOutcome::kPrefilled || ended.outcome == AttemptOutcome::kServed)
      slowStart_.recordServed(*request, instance, context.now());
    lifecycle_.applyOutcome(*request, instance, ended, context);
    eraseIfFinished(ended.request);
  }

  void on(const RequestAbandoned& abandoned, EventContext& context) {
    RequestRecord* request = findRequest(abandoned.request);
    if (request == nullptr || request->phase == Phase::kFinished)
      return;
    dispatcher_.cancelAttempt(*request, context);
    lifecycle_.close(*request, context);
    eraseIfFinished(abandoned.request);
  }

  void on(const ShutdownStarted& shutdown, EventContext& context) {
    shutdown_.begin(context.now(), shutdown.grace, shutdown.successorTakesStreams);
  }

  void on(const TimerFired&, EventContext&) { timerArmed_ = false; }

  // The router sends no health checks and no gossip.
  void on(const HealthCheckEnded&, EventContext&) {}
  void on(const PeerMessage&, EventContext&) {}

  RequestRecord* findRequest(const RequestId& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  void eraseIfFinished(const RequestId& id) {
    const RequestRecord* request = findRequest(id);
    if (request != nullptr && request->phase == Phase::kFinished && !request->hasAttemptInFlight())
      requests_.erase(id);
  }

  void continueShutdown(EventContext& context) {
    const GracefulShutdown::Step step =
        shutdown_.next(requests_, settings_.streamResumption, context.now());
    for (const RequestId& id : step.toFinish) {
      lifecycle_.finish(requests_.at(id), context);
      eraseIfFinished(id);
    }
    for (const RequestId& id : step.toMigrate) {
      requests_.at(id).attempts.back().cancelled = true;
      context.emit(MigrateStream{id});
    }
  }

  void processQueue(EventContext& context) {
    std::vector<QueuedRequest> queue;
    for (auto& [id, request] : requests_) {
      if (request.phase == Phase::kPrefilling || request.phase == Phase::kDecoding)
        cancelStraggler(request, context);
      if (isQueued(request))
        queue.push_back(queueEntry(settings_, id, request));
    }
    std::sort(queue.begin(), queue.end());
    for (const QueuedRequest& queued : queue) {
      lifecycle_.advance(requests_.at(queued.id), context);
      eraseIfFinished(queued.id);
    }
  }

  // The request is retried when the cancelled attempt ends.
  void cancelStraggler(RequestRecord& request, EventContext& context) {
    if (!stragglers_.shouldCancel(request, context.now()))
      return;
    AttemptRecord& attempt = request.attempts.back();
    attempt.cancelled = true;
    outcomes_.recordFailure(attempt, FailureReason::kSilent, context);
    context.emit(CancelAttempt{request.arrival.request, request.lastAttemptNumber()});
  }

  void pollEndpoints(EventContext& context) {
    if (!pollEndpointsAt_ || context.now() < *pollEndpointsAt_)
      return;
    context.emit(SubscribeEndpoints{});
    pollEndpointsAt_.reset();
  }

  // Keeps one timer armed while requests wait, or a poll or the shutdown is pending.
  void armTimer(EventContext& context) {
    const bool hasWaitingRequests =
        (shutdown_.hasBegun() && !requests_.empty()) || anyBeforeFirstToken(requests_);
    if (timerArmed_ || (!hasWaitingRequests && !pollEndpointsAt_))
      return;
    timerArmed_ = true;
    ++timersSet_;
    context.emit(SetTimer{timersSet_, hasWaitingRequests ? kQueueInterval : kEndpointPollBackoff});
  }

  Settings settings_;
  std::optional<SettingsError> settingsError_;

  // Knowledge about instances and traffic. Each component refers to those declared above it.
  KeyPopularity popularity_{kTrafficTimeConstant};
  InstanceRegistry registry_;
  CellPlan cells_;
  ServiceEstimates estimates_{settings_, popularity_};
  InstanceAvailability availability_{settings_, registry_, estimates_};
  DecodeCapacity capacity_{settings_, registry_, cells_, availability_};
  OutlierDetector outlierDetector_{registry_};

  // Decisions.
  SlowStart slowStart_{settings_, registry_, cells_, popularity_};
  SelectionInputs selectionInputs_{settings_,  registry_,     cells_,    popularity_,
                                   estimates_, availability_, capacity_, slowStart_};
  PrefillSelector prefillSelector_{selectionInputs_};
  DecodeSelector decodeSelector_;
  DecodePrefillSelector decodePrefillSelector_{selectionInputs_};
  LoadShedder shedder_{settings_, cells_, estimates_};
  RetryBudget retryBudget_;
  StragglerDetector stragglers_{settings_, availability_, retryBudget_};
  AttemptDispatcher dispatcher_{settings_, estimates_, decodeSelector_, capacity_, slowStart_};
  RequestLifecycle lifecycle_{{settings_, capacity_, shedder_, prefillSelector_, decodeSelector_,
                               decodePrefillSelector_, retryBudget_, dispatcher_}};
  OutcomeRecorder outcomes_{estimates_, shedder_, outlierDetector_};
  GracefulShutdown shutdown_;

  RequestMap requests_;
  bool started_ = false;
  bool timerArmed_ = false;
  std::uint64_t timersSet_ = 0;
  std::optional<Time> pollEndpointsAt_;
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::reconfigure(const Settings& settings) {
  impl_->reconfigure(settings);
}

bool Router::avoids(Time now, const InstanceId& instance) const {
  return impl_->avoids(now, instance);
}

const SlowStartTotals& Router::slowStartTotals() const {
  return impl_->slowStartTotals();
}

void Router::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace inference_router::routing
