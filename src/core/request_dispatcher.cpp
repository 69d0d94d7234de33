#include "core/request_dispatcher.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <variant>

namespace inference_router::core {

using namespace inference_router::routing;

namespace {

// How long past deadline and grace the module may leave a request without an answer before the core
// gives one.
constexpr double kOverdueMs = 10;
// By how much a close may reach its instance later than what is sent next reaches others, on other
// connections: far above the way within a deployment, and far below the slack of each limit.
constexpr double kCloseMs = 10;
// A stream that is to move is looked at so often until what has come of it is passed on; a client
// that reads slowly may keep that from happening, and no longer than this.
constexpr double kMoveLookMs = 5;
constexpr int kMoveLooks = 20;

const char* nameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return "attempts.served";
    case AttemptOutcome::kError:
      return "attempts.error";
    case AttemptOutcome::kRejected:
      return "attempts.turned_away";
    case AttemptOutcome::kTimeout:
      return "attempts.timed_out";
    case AttemptOutcome::kConnectFailed:
      return "attempts.no_connection";
    case AttemptOutcome::kConnectionLost:
      return "attempts.reset";
    case AttemptOutcome::kCancelled:
      return "attempts.cancelled";
    case AttemptOutcome::kNotSent:
      return "attempts.not_sent";
    case AttemptOutcome::kPrefilled:
      return "attempts.read";
  }
  return "attempts.unknown";
}

}  // namespace

RequestDispatcher::RequestDispatcher(const Settings& settings,
                                     std::uint64_t seed,
                                     const Clock& clock,
                                     TimerQueue& timers,
                                     Counters& counters)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      router_(settings, seed),
      drainGraceMs_(toMs(settings.contract.drainGrace)),
      answerGraceMs_(toMs(settings.contract.answerGrace)) {
  metrics_.classes(settings.classes.size());
  learn(settings);
}

void RequestDispatcher::learn(const Settings& settings) {
  kindReads_.clear();
  for (const KindSettings& kind : settings.kinds)
    kindReads_.push_back(kind.role == Role::kPrefill);
  classes_ = settings.classes;
  secondCopies_ = settings.limits.hedgedRequests;
  permits_.configure(toMs(settings.contract.drainGrace), secondCopies_);
}

void RequestDispatcher::reconfigure(const Settings& settings) {
  router_.reconfigure(settings);
  metrics_.classes(settings.classes.size());
  learn(settings);
  drainGraceMs_ = toMs(settings.contract.drainGrace);
  answerGraceMs_ = toMs(settings.contract.answerGrace);
}

RequestFacts RequestDispatcher::factsOf(ClassIndex index) const {
  RequestFacts facts;
  if (index.value >= classes_.size())
    return facts;
  const ClassSettings& cls = classes_[index.value];
  facts.effect = cls.effect;
  facts.repeatsFindFirst =
      cls.effect == Effect::kDeduplicated && cls.dedupScope == DedupScope::kAll;
  facts.repeatWindowMs = toMs(cls.dedupWindow);
  return facts;
}

// ---- From clients
// ----------------------------------------------------------------------------------

std::optional<RequestKey> RequestDispatcher::take(Arrival arrival,
                                                  std::shared_ptr<const Payload> payload,
                                                  std::shared_ptr<ResponseWriter> responseWriter) {
  if (byId_.count(arrival.request) != 0)
    return std::nullopt;
  ++counters_["requests.taken"];
  Request request;
  request.id = arrival.request;
  request.told = arrival;
  request.cls = arrival.cls.value;
  metrics_.taken(request.cls);
  request.payload = std::move(payload);
  request.responseWriter = std::move(responseWriter);
  request.facts = factsOf(arrival.cls);
  request.facts.deadlineMs = clock_.nowMs() + toMs(arrival.timeLeft);
  const RequestKey key = requests_.add(std::move(request));
  byId_[arrival.request] = key;
  ++unanswered_;
  // Guards the one final answer against a module that forgets a request.
  Request& r = *requests_.find(key);
  r.overdue = timers_.add(r.facts.deadlineMs + answerGraceMs_ + kOverdueMs, [this, key] {
    Request* late = requests_.find(key);
    if (late == nullptr || !late->responseWriter || late->facts.streaming)
      return;
    late->overdue.reset();
    ++counters_["requests.overdue"];
    conclude(*late, RequestOutcome::kError)->fail({true});
    lapsed_.push_back(key);
    post(RequestAbandoned{late->id});
  });
  post(std::move(arrival));
  return key;
}

void RequestDispatcher::clientGone(RequestKey key) {
  Request* r = requests_.find(key);
  if (r == nullptr || !r->responseWriter)
    return;
  ++counters_["requests.client_gone"];
  conclude(*r, RequestOutcome::kAbandoned);
  lapsed_.push_back(key);
  post(RequestAbandoned{r->id});
}

void RequestDispatcher::clientReady(RequestKey key) {
  const Request* r = requests_.find(key);
  if (r != nullptr && r->facts.streaming && attempts_.find(r->stream) != nullptr)
    instanceClient_->resume(r->stream);
}

// ---- From discovery
// --------------------------------------------------------------------------------

void RequestDispatcher::list(EndpointListUpdate news) {
  if (news.form != EndpointListForm::kFailed) {
    const double now = clock_.nowMs();
    const auto tellOff = [now](Listing& listing, bool gone) {
      listing.gone = gone;
      if (!listing.facts.toldOffMs)
        listing.facts.toldOffMs = now;
    };
    if (news.form != EndpointListForm::kChanges) {
      std::set<InstanceId> named;
      for (const EndpointRecord& entry : news.entries)
        named.insert(entry.instance);
      for (auto& [instance, listing] : fleet_)
        if (named.count(instance) == 0)
          tellOff(listing, true);
    }
    for (const EndpointRecord& entry : news.entries) {
      Listing& listing = fleet_[entry.instance];
      if (entry.state == EndpointState::kActive)
        listing = Listing{};
      else
        tellOff(listing, entry.state == EndpointState::kRemoved);
      listing.facts.listed = true;
      listing.facts.reads = entry.kind.value < kindReads_.size() && kindReads_[entry.kind.value];
    }
    forgetGone();
  }
  post(std::move(news));
}

// ---- From the instances' side
// ------------------------------------------------------------------------

const InstanceFacts* RequestDispatcher::instanceFacts(const InstanceId& instance) const {
  const auto told = fleet_.find(instance);
  return told == fleet_.end() ? nullptr : &told->second.facts;
}

// Guards the table against a fleet whose machines are replaced all day, each under an id of its
// own. Past the grace nothing goes to an instance that is gone, and what is not known gets nothing
// either.
void RequestDispatcher::forgetGone() {
  const double before = clock_.nowMs() - drainGraceMs_;
  std::erase_if(fleet_, [before](const auto& entry) {
    const Listing& listing = entry.second;
    return listing.gone && listing.facts.toldOffMs && *listing.facts.toldOffMs < before;
  });
}

bool RequestDispatcher::mayHold(const InstanceId& instance) const {
  return permits_.toInstance(instanceFacts(instance), clock_.nowMs()) == Permit::kAllowed;
}

bool RequestDispatcher::needsNothingHeld(const RequestId& request) const {
  const auto it = byId_.find(request);
  const Request* r = it == byId_.end() ? nullptr : requests_.find(it->second);
  return r == nullptr || r->facts.streaming || !r->responseWriter;
}

// Guards a refusal and the next send against a close that they overtake: until it is there, an
// attempt that was called off is open at its instance, be it a prefill instance, and may run.
// Classes that may run twice need no wait.
double RequestDispatcher::closesArriveMs(const Request& request, bool safeToo) const {
  return repeatsFreely(request) && !safeToo ? 0 : request.closedMs + kCloseMs;
}

bool RequestDispatcher::repeatsFreely(const Request& request) const {
  return request.facts.effect == Effect::kIdempotent;
}

// Time passes between the module's decision and the first byte.
Permit RequestDispatcher::permitOf(AttemptKey key) {
  const Attempt* a = attempts_.find(key);
  if (a == nullptr)
    return Permit::kAnswered;
  const RequestKey owner = a->request;
  const Request& r = *requests_.find(owner);
  return permits_.attempt(r.facts, instanceFacts(a->instance), toMs(a->before), clock_.nowMs(),
                          [this, owner] { return clientPresent(owner); });
}

bool RequestDispatcher::maySend(AttemptKey key) {
  const Permit permit = permitOf(key);
  if (permit != Permit::kAllowed)
    ++counters_[std::string("attempts.denied.") + nameOf(permit)];
  return permit == Permit::kAllowed;
}

// Faults of this program: counted and told with the request's history, so that they can be traced.
void RequestDispatcher::report(const std::vector<Violation>& violations, const Request& request) {
  for (const Violation violation : violations) {
    ++counters_[std::string("invariants.violated.") + nameOf(violation)];
    log_(std::string("invariant violated: ") + nameOf(violation) + " by request " +
         request.id.value + ": " + historyOf(request.facts, clock_.nowMs()));
  }
}

bool RequestDispatcher::attemptIsWanted(AttemptKey key) {
  const Attempt* a = attempts_.find(key);
  return a != nullptr && clientWaits(a->request);
}

// A client's close may have come while its handler still waits for its turn: nothing begins for who
// has gone.
bool RequestDispatcher::clientWaits(RequestKey key) {
  const Request* r = requests_.find(key);
  return r != nullptr && clock_.nowMs() < r->facts.deadlineMs && clientPresent(key);
}

bool RequestDispatcher::clientPresent(RequestKey key) {
  const Request* r = requests_.find(key);
  if (r == nullptr || !r->responseWriter)
    return false;
  if (r->responseWriter->present())
    return true;
  clientGone(key);
  return false;
}

bool RequestDispatcher::passed(AttemptKey key, std::string_view part) {
  Attempt* a = attempts_.find(key);
  if (a == nullptr)
    return true;
  Request* r = requests_.find(a->request);
  if (!a->opened) {
    // The first event ties the request to this attempt; a later copy's stream is dropped.
    if (!r->responseWriter || r->facts.streaming) {
      instanceClient_->abandon(key);
      close(key, {AttemptOutcome::kCancelled});
      return true;
    }
    a->opened = true;
    r->facts.streaming = true;
    r->stream = key;
    timers_.cancel(a->until);
    timers_.cancel(r->overdue);
    // The event goes out before the module hears of it: a stream that the module moves at once
    // would end its client's connection without any answer.
    const std::shared_ptr<ResponseWriter> responseWriter = r->responseWriter;
    const bool more = responseWriter->pass(part);
    a = attempts_.find(key);
    if (a != nullptr)
      post(StreamOpened{requests_.find(a->request)->id, a->number, a->instance,
                        toModule(clock_.nowMs() - a->sentMs)});
    return more;
  }
  if (!r->responseWriter)
    return true;
  const std::shared_ptr<ResponseWriter> responseWriter = r->responseWriter;
  return responseWriter->pass(part);
}

void RequestDispatcher::written(AttemptKey key) {
  const Attempt* a = attempts_.find(key);
  if (a == nullptr)
    return;
  const Request* r = requests_.find(a->request);
  if (r == nullptr)
    return;
  metrics_.tried(r->cls);
  report(permits_.checkWritten(r->facts, instanceFacts(a->instance), clock_.nowMs()), *r);
}

void RequestDispatcher::ended(AttemptKey key, const Result& result) {
  close(key, result);
}

void RequestDispatcher::placeAnswered(AttemptKey reading, const InstanceId& instance, bool held) {
  const Attempt* a = attempts_.find(reading);
  if (a == nullptr)
    return;  // the read has ended: its note would come too late to mean anything
  post(ReservationResult{requests_.find(a->request)->id, a->number, instance, held});
}

void RequestDispatcher::probed(const InstanceId& instance, double tookMs, bool answered) {
  post(HealthCheckEnded{instance, toModule(tookMs), answered, std::nullopt});
}

// ---- Streams that pass to another process
// ----------------------------------------------------------

std::size_t RequestDispatcher::openAt(const InstanceId& instance) const {
  const auto it = outAt_.find(instance);
  return it == outAt_.end() ? 0 : it->second;
}

std::vector<RequestKey> RequestDispatcher::streams() const {
  std::vector<RequestKey> found;
  for (const auto& [id, key] : byId_)
    if (streamOf(key))
      found.push_back(key);
  return found;
}

std::optional<RequestDispatcher::Stream> RequestDispatcher::streamOf(RequestKey key) const {
  const Request* r = requests_.find(key);
  if (r == nullptr || !r->responseWriter || !r->facts.streaming || r->out != 1)
    return std::nullopt;
  const Attempt* a = attempts_.find(r->stream);
  if (a == nullptr)
    return std::nullopt;
  return Stream{key, r->stream, r->told, a->instance};
}

void RequestDispatcher::handedOver(RequestKey key) {
  Request* r = requests_.find(key);
  if (r == nullptr || !r->responseWriter)
    return;
  const AttemptKey stream = r->stream;
  conclude(*r, RequestOutcome::kHandedOver);
  close(stream, {AttemptOutcome::kCancelled});
}

std::optional<RequestDispatcher::Stream> RequestDispatcher::adopt(
    Arrival arrival,
    const InstanceId& instance,
    std::shared_ptr<ResponseWriter> responseWriter) {
  if (byId_.count(arrival.request) != 0)
    return std::nullopt;
  Request request;
  request.id = arrival.request;
  request.told = arrival;
  request.cls = arrival.cls.value;
  request.responseWriter = std::move(responseWriter);
  request.facts = factsOf(arrival.cls);
  request.facts.streaming = true;
  request.facts.attempts.push_back({.instance = instance.value, .sentMs = clock_.nowMs()});
  request.out = 1;
  metrics_.taken(request.cls);
  ++counters_["requests.adopted"];
  const RequestKey key = requests_.add(std::move(request));
  byId_[arrival.request] = key;
  ++unanswered_;
  Attempt attempt;
  attempt.request = key;
  attempt.instance = instance;
  attempt.sentMs = clock_.nowMs();
  attempt.opened = true;
  const AttemptKey stream = attempts_.add(std::move(attempt));
  Request& r = *requests_.find(key);
  r.stream = stream;
  r.attempts.push_back(stream);
  ++outAt_[instance];
  post(StreamAdopted{arrival, instance});
  return Stream{key, stream, std::move(arrival), instance};
}

// ---- Endings
// ---------------------------------------------------------------------------------------

// The one gate for AttemptEnded: the attempt's slot goes with it, so that there cannot be a second.
void RequestDispatcher::close(AttemptKey key, const Result& result) {
  Attempt* a = attempts_.find(key);
  if (a == nullptr)
    return;
  timers_.cancel(a->until);
  Request& r = *requests_.find(a->request);
  const RequestKey owner = a->request;
  ++counters_[nameOf(result.outcome)];
  r.endedMs = clock_.nowMs();
  const bool streamed = a->opened;
  const bool calledOff =
      result.outcome == AttemptOutcome::kCancelled || result.outcome == AttemptOutcome::kTimeout;
  // An answer that cannot be read is closed as well, and goes on at its instance perhaps.
  const bool spoilt = result.outcome == AttemptOutcome::kError && !repeatsFreely(r);
  if (calledOff || spoilt)
    r.closedMs = clock_.nowMs();
  const InstanceFacts* at = instanceFacts(a->instance);
  r.lastOutcome = nameOf(result.outcome) + std::string_view("attempts.").size();
  r.lastAt = at == nullptr ? "" : at->reads ? "_reading" : "_answering";
  AttemptHistory& history = r.facts.attempts.at(static_cast<std::size_t>(a->number));
  history.out = false;
  history.outcome = r.lastOutcome;
  history.mayHaveRun = !provesNotExecuted(result.outcome, result.doubtful);
  AttemptEnded event{r.id,
                     a->number,
                     a->instance,
                     result.outcome,
                     toModule(clock_.nowMs() - a->sentMs),
                     false,
                     result.cachedTokens,
                     result.kvCacheLost,
                     std::nullopt,
                     result.doubtful};
  const auto out = outAt_.find(a->instance);
  if (out != outAt_.end() && --out->second == 0)
    outAt_.erase(out);
  attempts_.remove(key);
  --r.out;
  if (r.responseWriter && (streamed || result.outcome == AttemptOutcome::kServed)) {
    const bool whole = result.outcome == AttemptOutcome::kServed;
    const std::shared_ptr<ResponseWriter> responseWriter =
        conclude(r, whole ? RequestOutcome::kOk : RequestOutcome::kError);
    if (whole) {
      ++counters_["requests.served"];
      responseWriter->end();
    } else {
      ++counters_["requests.broken"];
      responseWriter->broken();
    }
  }
  event.concluded = !requests_.find(owner)->responseWriter;
  post(std::move(event));
  forgetIfDone(owner);
}

void RequestDispatcher::timeOut(AttemptKey key) {
  Attempt* a = attempts_.find(key);
  if (a == nullptr)
    return;
  a->until.reset();
  instanceClient_->abandon(key);
  close(key, {AttemptOutcome::kTimeout});
}

// The one gate for final answers: whoever gets the answerer out of here is the only one to use it.
std::shared_ptr<ResponseWriter> RequestDispatcher::conclude(Request& request, RequestOutcome how) {
  metrics_.ended(request.cls, how);
  request.facts.answered = true;
  timers_.cancel(request.overdue);
  --unanswered_;
  return std::move(request.responseWriter);
}

void RequestDispatcher::forgetIfDone(RequestKey key) {
  const Request* r = requests_.find(key);
  if (r == nullptr || r->responseWriter || r->out != 0 || running_)
    return;
  byId_.erase(r->id);
  requests_.remove(key);
}

void RequestDispatcher::callOffAll(RequestKey key) {
  const Request* r = requests_.find(key);
  if (r == nullptr)
    return;
  for (const AttemptKey attempt : std::vector(r->attempts)) {
    if (attempts_.find(attempt) == nullptr)
      continue;
    instanceClient_->abandon(attempt);
    close(attempt, {AttemptOutcome::kCancelled});
  }
}

// ---- The module
// ------------------------------------------------------------------------------------

void RequestDispatcher::post(Event event) {
  events_.push_back(std::move(event));
  run();
}

// Events that come up while the module's actions are carried out wait in line: the module sees one
// at a time.
void RequestDispatcher::run() {
  if (running_)
    return;
  running_ = true;
  std::vector<Action> actions;
  std::vector<RequestId> touched;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    if (const auto* ended = std::get_if<AttemptEnded>(&event))
      touched.push_back(ended->request);
    if (const auto* arrival = std::get_if<Arrival>(&event))
      touched.push_back(arrival->request);
    if (const auto* lapsed = std::get_if<RequestAbandoned>(&event))
      touched.push_back(lapsed->request);
    actions.clear();
    for (const auto& watch : watchEvents_)
      watch(event);
    router_.handle(toModuleTime(clock_.nowMs()), event, actions);
    for (const Action& action : actions)
      act(action);
    // A client that is gone needs none of its attempts, whether or not the module may cancel.
    for (const RequestKey key : std::exchange(lapsed_, {}))
      callOffAll(key);
  }
  running_ = false;
  for (const RequestId& id : touched) {
    const auto it = byId_.find(id);
    if (it != byId_.end())
      forgetIfDone(it->second);
  }
}

RequestDispatcher::Request* RequestDispatcher::byId(const RequestId& id) {
  const auto it = byId_.find(id);
  return it == byId_.end() ? nullptr : requests_.find(it->second);
}

void RequestDispatcher::act(const Action& action) {
  if (watch_)
    watch_(action);
  std::visit(
      [this](const auto& what) {
        using What = std::decay_t<decltype(what)>;
        if constexpr (std::is_same_v<What, RejectRequest>) {
          refuse(what);
        } else if constexpr (std::is_same_v<What, FailRequest>) {
          fail(what);
        } else if constexpr (std::is_same_v<What, ReleaseState>) {
          ++counters_["releases.sent"];
          instanceClient_->release(what.request);
        } else if constexpr (std::is_same_v<What, SetTimer>) {
          timers_.add(clock_.nowMs() + toMs(what.in),
                      [this, timer = what.timer] { post(TimerFired{timer}); });
        } else if constexpr (std::is_same_v<What, SendHealthCheck>) {
          ++counters_["probes.sent"];
          instanceClient_->probe(what.instance);
        } else if constexpr (std::is_same_v<What, LogMessage>) {
          log_(what.text);
        } else if constexpr (std::is_same_v<What, SendGossip> ||
                             std::is_same_v<What, SubscribeEndpoints> ||
                             std::is_same_v<What, FetchEndpoints>) {
          // Routers share nothing, and discovery here is always a watch that is open already.
        } else {
          carryOut(what);
        }
      },
      action);
}

void RequestDispatcher::refuse(const RejectRequest& refuse) {
  Request* r = byId(refuse.request);
  if (r == nullptr || !r->responseWriter || r->facts.streaming)
    return;
  ++counters_["requests.refused"];
  ++counters_[std::string("requests.refused_after.") + r->lastOutcome + r->lastAt];
  report(permits_.checkRefusal(r->facts), *r);
  const Refusal refusal{refuse.retryAfter ? std::optional(toMs(*refuse.retryAfter)) : std::nullopt,
                        clock_.nowMs() >= r->facts.deadlineMs};
  const double after = closesArriveMs(*r, /*safeToo=*/false);
  const std::shared_ptr<ResponseWriter> responseWriter = conclude(*r, RequestOutcome::kShed);
  if (clock_.nowMs() >= after)
    return responseWriter->refuse(refusal);
  timers_.add(after, [responseWriter, refusal] { responseWriter->refuse(refusal); });
}

void RequestDispatcher::fail(const FailRequest& fail) {
  Request* r = byId(fail.request);
  if (r == nullptr || !r->responseWriter || r->facts.streaming)
    return;
  ++counters_["requests.failed"];
  const bool late = clock_.nowMs() >= r->facts.deadlineMs;
  conclude(*r, RequestOutcome::kError)->fail({late});
}

void RequestDispatcher::carryOut(const DispatchAttempt& send) {
  Request* r = byId(send.request);
  if (r == nullptr)
    return;
  const RequestKey owner = byId_.at(send.request);
  Attempt attempt;
  attempt.request = owner;
  attempt.number = static_cast<int>(r->attempts.size());
  attempt.instance = send.instance;
  attempt.sentMs = clock_.nowMs();
  attempt.before = send.before;
  const AttemptKey key = attempts_.add(std::move(attempt));
  const InstanceFacts* at = instanceFacts(send.instance);
  report(permits_.checkAttempt(r->facts), *r);
  r->attempts.push_back(key);
  r->facts.attempts.push_back({.instance = send.instance.value,
                               .reads = at != nullptr && at->reads,
                               .sentMs = clock_.nowMs()});
  ++r->out;
  ++outAt_[send.instance];
  ++counters_["attempts.sent"];
  const double until =
      std::min(toMs(send.until) > 0 ? toMs(send.until) : r->facts.deadlineMs, r->facts.deadlineMs);
  if (!maySend(key))
    return close(key, {AttemptOutcome::kNotSent});
  attempts_.find(key)->until = timers_.add(until, [this, key] { timeOut(key); });
  const bool reads = at != nullptr && at->reads;
  instanceClient_->start({key, r->id, send.instance, r->payload, until, reads,
                          closesArriveMs(*r, !secondCopies_), r->endedMs});
}

void RequestDispatcher::carryOut(const ReserveDecode& hold) {
  Request* r = byId(hold.request);
  if (r == nullptr || r->attempts.empty())
    return;
  ++counters_["places.asked"];
  instanceClient_->holdPlace(r->id, r->attempts.back(), hold.instance);
}

void RequestDispatcher::carryOut(const CancelAttempt& cancel) {
  const Request* r = byId(cancel.request);
  if (r == nullptr || cancel.attempt < 0)
    return;
  if (static_cast<std::size_t>(cancel.attempt) >= r->attempts.size())
    return;
  const AttemptKey key = r->attempts[static_cast<std::size_t>(cancel.attempt)];
  const Attempt* a = attempts_.find(key);
  if (a == nullptr || (a->opened && r->responseWriter))
    return;  // a begun stream belongs to its client
  instanceClient_->abandon(key);
  close(key, {AttemptOutcome::kCancelled});
}

void RequestDispatcher::carryOut(const MigrateStream& move) {
  const Request* r = byId(move.request);
  if (r == nullptr || !r->facts.streaming)
    return;
  moveOnceRead(r->stream, kMoveLooks);
}

// Guards a stream that its instance has finished: what has come is passed on first, and with it
// perhaps the end.
void RequestDispatcher::moveOnceRead(AttemptKey key, int looks) {
  const Attempt* a = attempts_.find(key);
  if (a == nullptr)
    return;
  const Request* r = requests_.find(a->request);
  if (r->responseWriter && looks > 0 && instanceClient_->unread(key)) {
    timers_.add(clock_.nowMs() + kMoveLookMs, [this, key, looks] { moveOnceRead(key, looks - 1); });
    return;
  }
  instanceClient_->abandon(key);
  close(key, {AttemptOutcome::kConnectionLost});
}

}  // namespace inference_router::core
