// Owns every request and attempt, feeds the decision module with events and carries out its
// actions. Holds two invariants whatever module, clients and instances do: a request gets one final
// answer, and each Send gets one AttemptEnded.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/ports.h"
#include "core/request_metrics.h"
#include "core/request_permits.h"
#include "core/slot_table.h"
#include "core/timer_queue.h"
#include "inference_router/router.h"

namespace inference_router::core {

class RequestDispatcher final : public EndpointListSink {
 public:
  RequestDispatcher(const routing::Settings& settings,
                    std::uint64_t seed,
                    const Clock& clock,
                    TimerQueue& timers,
                    Counters& counters);

  void connect(InstanceClient& client) { instanceClient_ = &client; }
  // A line for the log, from whoever works for the core.
  void note(const std::string& text) { log_(text); }
  void onLog(std::function<void(const std::string&)> log) { log_ = std::move(log); }
  // Sees every action of the module before it is carried out.
  void onAction(std::function<void(const routing::Action&)> watch) { watch_ = std::move(watch); }
  // Sees every event before the module does. Several may.
  void onEvent(std::function<void(const routing::Event&)> watch) {
    watchEvents_.push_back(std::move(watch));
  }

  // Settings that came later. Classes, tenants and kinds keep their numbers; more may have been
  // added.
  void reconfigure(const routing::Settings& settings);

  // From clients. Nothing if a request of this id is still known: the front answers that itself.
  std::optional<RequestKey> take(routing::Arrival arrival,
                                 std::shared_ptr<const Payload> payload,
                                 std::shared_ptr<ResponseWriter> responseWriter);
  void clientGone(RequestKey key);
  void clientReady(RequestKey key);

  // From discovery.
  void list(routing::EndpointListUpdate news) override;

  // From the instances' side.
  bool maySend(AttemptKey key);  // asked again just before a send that had to wait is written
  // Whether the client of this attempt is there and waits, by what its machine has said up to this
  // moment.
  bool attemptIsWanted(AttemptKey key);
  bool mayHold(const routing::InstanceId& instance) const;
  // Whether nothing that is held for a request can be of use to it any more: it streams, or is
  // over.
  bool needsNothingHeld(const routing::RequestId& request) const;
  bool passed(AttemptKey key, std::string_view part);
  void written(AttemptKey key);  // the attempt's last byte is out
  void ended(AttemptKey key, const Result& result);
  void placeAnswered(AttemptKey reading, const routing::InstanceId& instance, bool held);
  void probed(const routing::InstanceId& instance, double tookMs, bool answered);

  // From the operators: this process ends, and is killed no sooner than so long from now.
  void stopping(double graceMs) { post(routing::ShutdownStarted{toModule(graceMs)}); }

  // ---- Streams that pass from one process of this router to the next ----
  struct Stream {
    RequestKey request;
    AttemptKey attempt;
    routing::Arrival arrival;
    routing::InstanceId instance;
  };
  std::vector<RequestKey> streams() const;
  std::optional<Stream> streamOf(RequestKey key) const;
  void handedOver(
      RequestKey key);  // another process has it: no answer and no attempt of it is here any more
  // Nothing if a request of this id is known here.
  std::optional<Stream> adopt(routing::Arrival arrival,
                              const routing::InstanceId& instance,
                              std::shared_ptr<ResponseWriter> responseWriter);

  std::size_t instancesKnown() const { return fleet_.size(); }
  std::size_t open() const { return unanswered_; }  // requests that are owed an answer or its rest
  std::size_t openAt(const routing::InstanceId& instance) const;  // attempts that are out there
  const RequestMetrics& metrics() const { return metrics_; }
  // Whether the module passes a listed instance over by its own judgement.
  bool avoids(const routing::InstanceId& instance) const {
    return router_.avoids(toModuleTime(clock_.nowMs()), instance);
  }

 private:
  struct Listing {  // what the list last said of an instance
    InstanceFacts facts;
    bool gone = false;
  };
  struct Attempt {
    RequestKey request;
    int number = 0;
    routing::InstanceId instance;
    double sentMs = 0;
    routing::Time before = routing::Time::max();  // to go out
    bool opened = false;
    std::optional<TimerQueue::Key> until;
  };
  struct Request {
    routing::RequestId id;
    routing::Arrival told;
    std::size_t cls = 0;
    std::shared_ptr<const Payload> payload;
    std::shared_ptr<ResponseWriter>
        responseWriter;  // none once the final answer is given or the client is gone
    std::vector<AttemptKey> attempts;
    std::size_t out = 0;
    RequestFacts facts;
    double closedMs = 0;  // when a connection of an attempt was last closed from this side
    double endedMs = 0;   // when an attempt last ended
    AttemptKey stream;
    // Of its last attempt that ended: the names of its outcome, and of what kind of instance that
    // was at.
    const char *lastOutcome = "nothing_sent", *lastAt = "";
    std::optional<TimerQueue::Key> overdue;
  };

  bool clientWaits(RequestKey key);
  bool clientPresent(RequestKey key);
  Permit permitOf(AttemptKey key);
  const InstanceFacts* instanceFacts(const routing::InstanceId& instance) const;
  void report(const std::vector<Violation>& violations, const Request& request);
  void refuse(const routing::RejectRequest& refuse);
  void fail(const routing::FailRequest& fail);
  void learn(const routing::Settings& settings);
  RequestFacts factsOf(routing::ClassIndex cls) const;
  bool repeatsFreely(const Request& request) const;
  double closesArriveMs(const Request& request, bool safeToo) const;
  void post(routing::Event event);
  void run();
  void act(const routing::Action& action);
  void carryOut(const routing::DispatchAttempt& send);
  void carryOut(const routing::ReserveDecode& hold);
  void carryOut(const routing::CancelAttempt& cancel);
  void carryOut(const routing::MigrateStream& move);
  void moveOnceRead(AttemptKey key, int looks);

  Request* byId(const routing::RequestId& id);
  void timeOut(AttemptKey key);
  void close(AttemptKey key, const Result& result);
  void callOffAll(RequestKey key);
  std::shared_ptr<ResponseWriter> conclude(Request& request, RequestOutcome how);
  void forgetIfDone(RequestKey key);
  void forgetGone();

  const Clock& clock_;
  TimerQueue& timers_;
  Counters& counters_;
  routing::Router router_;
  double drainGraceMs_, answerGraceMs_;
  RequestPermits permits_;
  std::vector<bool> kindReads_;  // by kind of instance
  std::vector<routing::ClassSettings> classes_;
  bool secondCopies_ = false;
  InstanceClient* instanceClient_ = nullptr;
  std::function<void(const std::string&)> log_ = [](const std::string&) {};
  std::function<void(const routing::Action&)> watch_;
  std::vector<std::function<void(const routing::Event&)>> watchEvents_;
  SlotTable<Request> requests_;
  SlotTable<Attempt> attempts_;
  std::map<routing::RequestId, RequestKey> byId_;
  std::map<routing::InstanceId, Listing> fleet_;
  std::map<routing::InstanceId, std::size_t> outAt_;  // of instances with any
  std::deque<routing::Event> events_;
  std::vector<RequestKey> lapsed_;
  RequestMetrics metrics_;
  std::size_t unanswered_ = 0;
  bool running_ = false;
};

}  // namespace inference_router::core
