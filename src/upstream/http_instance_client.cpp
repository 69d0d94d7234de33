#include "upstream/http_instance_client.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "upstream/event_stream_filter.h"
#include "upstream/usage_reader.h"

namespace inference_router::upstream {

using routing::AttemptOutcome;
using routing::InstanceId;
using routing::RequestId;

namespace {

constexpr double kProbeAnswerMs = 1000;
constexpr double kSilentMs = 1000;  // without any sign: an instance may be stopped, and go on later
constexpr double kArrivalMs = 75;   // for what was written to be read where it goes
constexpr double kLastChunkMs = 1000;  // to follow the event that ends a stream
// Without anything on a stream that has begun: its client may be left waiting 5 s. Slow instances
// send every few seconds at worst.
constexpr double kStallMs = 4200;

}  // namespace

// ---- One attempt
// -----------------------------------------------------------------------------------

class HttpInstanceClient::AttemptCall final : public net::CallSink {
 public:
  AttemptCall(HttpInstanceClient& instances, const core::Dispatch& dispatch)
      : endpoints_(instances),
        key_(dispatch.attempt),
        request_(dispatch.request),
        instance_(dispatch.instance),
        untilMs_(dispatch.untilMs),
        heldSinceMs_(dispatch.heldSinceMs),
        reads_(dispatch.reads) {}

  ~AttemptCall() override {
    endpoints_.timers_.cancel(last_);
    endpoints_.timers_.cancel(stall_);
    endpoints_.timers_.cancel(taken_);
  }

  const RequestId& request() const { return request_; }
  bool isWritten() const { return writtenMs_ < HUGE_VAL; }
  bool prefills() const { return reads_; }
  // Until when a release beside it might take what it goes on with. A prefill whose bytes are not
  // out yet has nothing, however long its connection takes to come up; a decode attempt needs the
  // state that waits for it.
  double heldBackMs() const {
    if (reads_)
      return isWritten() ? writtenMs_ + endpoints_.releaseWithinMs_ : 0;
    return isWritten() ? takenByMs() : HUGE_VAL;
  }
  core::AttemptKey key() const { return key_; }
  void hold(std::shared_ptr<net::Call> call) { call_ = std::move(call); }
  net::Call& call() { return *call_; }

  // A stream that another process began: its head and first events have passed already.
  void adopt(const std::string& event) {
    status_ = 200;
    begun_ = true;
    writtenMs_ = endpoints_.clock_.nowMs();
    gate_.see(event);
  }
  bool finished() const { return gate_.finished(); }
  const std::string& part() const { return gate_.part(); }

  // A place is asked for right after the last byte of the read: before it the instance knows of no
  // read.
  void placeAt(const InstanceId& instance) {
    if (isWritten())
      endpoints_.reservations_.ask(request_, key_, instance);
    else
      place_ = instance;
  }

  bool ready() override { return endpoints_.dispatcher_.maySend(key_); }

  // Rounded down: its instance is told no more than its client has left.
  net::Fields fieldsAsWritten() override {
    const double leftMs = std::max(0.0, std::floor(untilMs_ - endpoints_.clock_.nowMs()));
    return {{endpoints_.dialect_.budgetHeader, std::to_string(static_cast<long>(leftMs))}};
  }

  void written() override {
    writtenMs_ = endpoints_.clock_.nowMs();
    if (!reads_)
      watchForTaking();
    endpoints_.dispatcher_.written(key_);
    if (place_)
      endpoints_.reservations_.ask(request_, key_, *std::exchange(place_, std::nullopt));
  }

  void head(const net::ResponseHead& head) override {
    status_ = head.result_int();
    first_ = call_->isFirstOnConnection();
    rejected_ = head.find(endpoints_.dialect_.rejectedHeader) != head.end();
    endpoints_.heard(instance_);
  }

  bool body(std::string_view part) override {
    usage_.see(part);
    if (status_ != 200)
      return true;
    const std::optional<std::string> events = gate_.see(part);
    if (!events) {
      call_->garbled();
      return true;
    }
    if (gate_.finished() && !last_)
      last_ = endpoints_.timers_.add(endpoints_.clock_.nowMs() + kLastChunkMs, [this] {
        last_.reset();
        call_->garbled();
      });
    if (events->empty())
      return true;  // part of an event is no sign of life to the client
    begun_ = true;
    ++parts_;
    watchForStall();
    if (endpoints_.dispatcher_.passed(key_, *events))
      return true;
    endpoints_.timers_.cancel(stall_);  // a slow client holds the stream back, not its instance
    return false;
  }

  // Guards the state that a decode instance is to take: what was sent to an instance that no longer
  // reads this connection, or was answered with a piece that is none of a stream under way, has
  // taken nothing, and the time of what is held goes on. Where it did arrive, the release takes
  // nothing from it.
  void watchForTaking() {
    taken_ = endpoints_.timers_.add(takenByMs(), [this] {
      taken_.reset();
      if (parts_ < 2)
        endpoints_.releases_.releaseBeside(request_);
    });
  }

  // The time of what is held goes on since the last attempt ended, however late this one was
  // written; it has a moment to arrive, as a release that overtook it would take its state.
  double takenByMs() const {
    const double heldSinceMs = heldSinceMs_ > 0 ? heldSinceMs_ : writtenMs_;
    return std::max(heldSinceMs + endpoints_.releaseWithinMs_, writtenMs_ + kArrivalMs);
  }

  // Guards a client against an instance that goes silent in the middle of its answer.
  void watchForStall() {
    endpoints_.timers_.cancel(stall_);
    if (!begun_ || call_->state() == net::Call::State::kOver)
      return;
    stall_ = endpoints_.timers_.add(endpoints_.clock_.nowMs() + kStallMs, [this] {
      stall_.reset();
      ++endpoints_.counters_["attempts.stalled"];
      endpoints_.unheard(instance_);
      call_->abandon();
      end({AttemptOutcome::kTimeout});
    });
  }

  // A last chunk ahead of the event that ends a stream is none of a whole stream.
  void done() override {
    if (status_ == 200 && !gate_.finished())
      return failed(net::CallFailure::kGarbled);
    end(result());
  }

  void failed(net::CallFailure why) override {
    // Any instance may send a spoilt answer now and then: it runs, and is not to be left out as one
    // that is lost. The request may have run, as after any error. A head comes with the first
    // token: a decode instance that sent one, however spoilt, had fetched the state, and the next
    // would have to read the whole prompt itself.
    if (why == net::CallFailure::kGarbled) {
      ++endpoints_.counters_["answers.garbled"];
      return end({AttemptOutcome::kError, 0, true});
    }
    if (why != net::CallFailure::kWithdrawn)
      endpoints_.unheard(instance_);
    // After a reset the other idle connections to that instance are as dead as this one was.
    if (why == net::CallFailure::kReset)
      if (const InstanceEndpoint* endpoint = endpoints_.directory_.find(instance_))
        endpoints_.pool_.dropIdle(endpoint->address);
    end({why == net::CallFailure::kNoConnection ? AttemptOutcome::kConnectFailed
         : why == net::CallFailure::kReset      ? AttemptOutcome::kConnectionLost
                                                : AttemptOutcome::kNotSent});
  }

 private:
  core::Result result() const {
    if (status_ == 200)
      return {AttemptOutcome::kServed, usage_.cachedTokens()};
    if (status_ == 202)
      return {AttemptOutcome::kPrefilled, usage_.cachedTokens()};
    // Guards against a late second answer to the request before, which would be taken for a proof
    // that this one never ran: nothing in an answer names its request, so it proves that on a fresh
    // connection alone.
    if (rejected_ && status_ == 410)
      return {AttemptOutcome::kRejected, 0, true, !first_};
    if (rejected_ && (status_ == 503 || status_ == 504))
      return {AttemptOutcome::kRejected, 0, false, !first_};
    return {AttemptOutcome::kError};
  }

  void end(const core::Result& result) {
    HttpInstanceClient& instances = endpoints_;
    const core::AttemptKey key = key_;
    const bool prefills = reads_;  // the entry may be the last that holds this
    instances.timers_.cancel(last_);
    instances.timers_.cancel(stall_);
    instances.timers_.cancel(taken_);
    instances.attempts_.erase(key.slot);
    if (prefills)
      instances.reservations_.prefillEnded(key);
    instances.dispatcher_.ended(key, result);
  }

  HttpInstanceClient& endpoints_;
  core::AttemptKey key_;
  RequestId request_;
  InstanceId instance_;
  std::shared_ptr<net::Call> call_;
  std::optional<InstanceId> place_;
  UsageReader usage_;
  EventStreamFilter gate_;
  std::optional<core::TimerQueue::Key> last_, stall_, taken_;
  double untilMs_;               // its answer is waited for
  double heldSinceMs_;           // the last attempt of its request ended; 0: there was none
  double writtenMs_ = HUGE_VAL;  // its last byte; until then in no time
  int parts_ = 0;                // in which whole events came
  unsigned status_ = 0;
  bool reads_;
  bool begun_ = false, rejected_ = false, first_ = false;
};

// ---- Probes
// ------------------------------------------------------------------------------------------

class HttpInstanceClient::ProbeCall final : public net::CallSink {
 public:
  ProbeCall(HttpInstanceClient& instances, InstanceId instance)
      : endpoints_(instances), instance_(std::move(instance)), sentMs_(instances.clock_.nowMs()) {}
  void head(const net::ResponseHead& head) override {
    well_ = head.result_int() == 200;
    endpoints_.heard(instance_);
  }
  void done() override { end(well_); }
  void failed(net::CallFailure) override { end(false); }
  void end(bool well) {
    endpoints_.dispatcher_.probed(instance_, endpoints_.clock_.nowMs() - sentMs_, well);
  }

 private:
  HttpInstanceClient& endpoints_;
  InstanceId instance_;
  double sentMs_;
  bool well_ = false;
};

// ---- Instances
// -----------------------------------------------------------------------------------------

HttpInstanceClient::HttpInstanceClient(InstanceProtocol dialect,
                                       core::RequestDispatcher& dispatcher,
                                       net::ConnectionPool& pool,
                                       InstanceDirectory& directory,
                                       const core::Clock& clock,
                                       core::TimerQueue& timers,
                                       core::Counters& counters,
                                       double releaseWithinMs)
    : dialect_(std::move(dialect)),
      dispatcher_(dispatcher),
      pool_(pool),
      directory_(directory),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      releaseWithinMs_(releaseWithinMs),
      releases_(
          pool,
          directory,
          clock,
          timers,
          counters,
          releaseWithinMs,
          [this](const RequestId& request, const InstanceEndpoint& endpoint) {
            return roomHead("DELETE", request, endpoint);
          },
          [this](const RequestId& request) { return heldBackMs(request); },
          [&dispatcher](const std::string& line) { dispatcher.note(line); }),
      owed_(pool,
            directory,
            clock,
            timers,
            counters,
            releaseWithinMs,
            [this](const RequestId& request, const InstanceEndpoint& endpoint) {
              return roomHead("DELETE", request, endpoint);
            }),
      // No id in its head: a call that carries one could be taken for an attempt.
      reservations_(
          dispatcher,
          pool,
          directory,
          clock,
          timers,
          counters,
          releases_,
          owed_,
          releaseWithinMs,
          [this](const RequestId& request, const InstanceEndpoint& endpoint) {
            return roomHead("POST", request, endpoint);
          },
          [this](core::AttemptKey prefill) { return attempt(prefill) != nullptr; }) {
  dispatcher_.connect(*this);
}

// A call and its sink hold each other while it runs.
HttpInstanceClient::~HttpInstanceClient() {
  for (const auto& [slot, sink] : attempts_)
    sink->call().abandon();
}

std::shared_ptr<HttpInstanceClient::AttemptCall> HttpInstanceClient::attempt(
    core::AttemptKey key) const {
  const auto it = attempts_.find(key.slot);
  return it == attempts_.end() || it->second->key() != key ? nullptr : it->second;
}

// The last one's, should there be several.
std::optional<double> HttpInstanceClient::heldBackMs(const RequestId& request) const {
  std::optional<double> last;
  for (const auto& [slot, sink] : attempts_) {
    if (sink->request() != request)
      continue;
    last = std::max(last.value_or(0), sink->heldBackMs());
    if (sink->prefills() && sink->isWritten())
      last = std::max(*last, reservations_.coversUntilMs(request));
  }
  return last;
}

std::string HttpInstanceClient::roomHead(const std::string& method,
                                         const RequestId& request,
                                         const InstanceEndpoint& endpoint) const {
  return head(method, dialect_.roomsPath + request.value, endpoint, {{"Content-Length", "0"}});
}

std::string HttpInstanceClient::head(const std::string& method,
                                     const std::string& target,
                                     const InstanceEndpoint& endpoint,
                                     net::Fields fields) const {
  fields.insert(fields.begin(), {"Host", endpoint.address.address().to_string() + ":" +
                                             std::to_string(endpoint.address.port())});
  fields.insert(fields.end(), dialect_.extra.begin(), dialect_.extra.end());
  return net::headText(method + " " + target + " HTTP/1.1", fields);
}

void HttpInstanceClient::heard(const InstanceId& instance) {
  if (InstanceEndpoint* endpoint = directory_.find(instance))
    endpoint->heardMs = clock_.nowMs();
}

void HttpInstanceClient::unheard(const InstanceId& instance) {
  if (InstanceEndpoint* endpoint = directory_.find(instance))
    endpoint->failedMs = clock_.nowMs();
}

void HttpInstanceClient::start(const core::Dispatch& dispatch) {
  const InstanceEndpoint* endpoint = directory_.find(dispatch.instance);
  if (endpoint == nullptr)
    return dispatcher_.ended(dispatch.attempt, {AttemptOutcome::kNotSent});
  const auto& payload = static_cast<const ForwardedRequest&>(*dispatch.payload);
  net::Fields fields{{dialect_.idHeader, dispatch.request.value},
                     {"Content-Length", std::to_string(payload.body->size())}};
  if (!payload.contentType.empty())
    fields.emplace_back("Content-Type", payload.contentType);
  fields.insert(fields.end(), payload.passed.begin(), payload.passed.end());
  releases_.attemptGoesOut(dispatch.request);
  const auto sink = std::make_shared<AttemptCall>(*this, dispatch);
  attempts_[dispatch.attempt.slot] = sink;
  sink->hold(pool_.call(
      endpoint->address, head(payload.method, payload.target, *endpoint, std::move(fields)),
      payload.body, sink, net::ConnectionPool::Urgency::kInTurn, dispatch.afterMs));
}

void HttpInstanceClient::abandon(core::AttemptKey key) {
  const auto sink = attempt(key);
  if (!sink)
    return;
  attempts_.erase(key.slot);
  sink->call().abandon();
  if (sink->prefills())
    reservations_.prefillEnded(key);
}

void HttpInstanceClient::pause(core::AttemptKey key, std::function<void()> quiet) {
  if (const auto sink = attempt(key))
    sink->call().pause(std::move(quiet));
}

void HttpInstanceClient::unpause(core::AttemptKey key) {
  if (const auto sink = attempt(key))
    sink->call().unpause();
}

// What has its last event is over within a moment.
std::optional<HttpInstanceClient::TransferState> HttpInstanceClient::rest(core::AttemptKey key) {
  const auto sink = attempt(key);
  if (!sink || sink->finished())
    return std::nullopt;
  const auto call = sink->call().transferState();
  if (!call)
    return std::nullopt;
  return TransferState{*call, sink->part()};
}

void HttpInstanceClient::leave(core::AttemptKey key) {
  abandon(key);
}

bool HttpInstanceClient::adopt(core::AttemptKey key,
                               const RequestId& request,
                               const InstanceId& instance,
                               const net::Endpoint& address,
                               const TransferState& rest) {
  const auto sink = std::make_shared<AttemptCall>(
      *this, core::Dispatch{key, request, instance, nullptr, 0, false});
  const auto call = pool_.adopt(address, rest.call, sink);
  if (!call)
    return false;
  sink->hold(call);
  sink->adopt(rest.event);
  attempts_[key.slot] = sink;
  sink->watchForStall();
  call->unpause();
  return true;
}

void HttpInstanceClient::resume(core::AttemptKey key) {
  const auto sink = attempt(key);
  if (!sink)
    return;
  sink->watchForStall();
  sink->call().resume();
}

// One whose last event has come is all but over, too.
bool HttpInstanceClient::unread(core::AttemptKey key) const {
  const auto sink = attempt(key);
  return sink && (sink->finished() || sink->call().hasUnread());
}

// A release that is still under way would let go of the new place as well.
void HttpInstanceClient::holdPlace(const RequestId& request,
                                   core::AttemptKey reading,
                                   const InstanceId& instance) {
  releases_.afterwards(request, [this, reading, instance] {
    if (const auto sink = attempt(reading))
      sink->placeAt(instance);
  });
}

void HttpInstanceClient::release(const RequestId& request) {
  releases_.release(request);
}

void HttpInstanceClient::probe(const InstanceId& instance) {
  const InstanceEndpoint* endpoint = directory_.find(instance);
  const auto sink = std::make_shared<ProbeCall>(*this, instance);
  if (endpoint == nullptr)
    return sink->end(false);
  const auto call =
      pool_.call(endpoint->address, head("GET", dialect_.healthPath, *endpoint, {}), nullptr, sink);
  timers_.add(clock_.nowMs() + kProbeAnswerMs, [call, sink] {
    if (call->state() == net::Call::State::kOver)
      return;
    call->abandon();
    sink->end(false);
  });
}

}  // namespace inference_router::upstream
