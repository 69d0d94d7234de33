// Owns every request and attempt, feeds the decision module with events and carries out its
// actions. Holds two invariants whatever module, clients and engines do: a request gets one final
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
#include "core/deadlines.h"
#include "core/figures.h"
#include "core/ports.h"
#include "core/request_permits.h"
#include "core/slots.h"
#include "leverrelay/router.h"

namespace dahliastall::core {

class Conductor final : public ListSink {
 public:
  Conductor(const leverrelay::Settings& settings,
            std::uint64_t seed,
            const Clock& clock,
            Deadlines& deadlines,
            Counters& counters);

  void connect(Engines& engines) { engines_ = &engines; }
  // A line for the log, from whoever works for the core.
  void note(const std::string& text) { log_(text); }
  void onLog(std::function<void(const std::string&)> log) { log_ = std::move(log); }
  // Sees every action of the module before it is carried out.
  void onAction(std::function<void(const leverrelay::Action&)> watch) { watch_ = std::move(watch); }
  // Sees every event before the module does. Several may.
  void onEvent(std::function<void(const leverrelay::Event&)> watch) {
    watchEvents_.push_back(std::move(watch));
  }

  // Settings that came later. Classes, tenants and kinds keep their numbers; more may have been
  // added.
  void reconfigure(const leverrelay::Settings& settings);

  // From clients. Nothing if a request of this id is still known: the front answers that itself.
  std::optional<RequestKey> take(leverrelay::Arrival arrival,
                                 std::shared_ptr<const Payload> payload,
                                 std::shared_ptr<Answerer> answerer);
  void clientGone(RequestKey key);
  void clientReady(RequestKey key);

  // From discovery.
  void list(leverrelay::ListNews news) override;

  // From the engines' side.
  bool maySend(AttemptKey key);  // asked again just before a send that had to wait is written
  // Whether the client of this attempt is there and waits, by what its machine has said up to this
  // moment.
  bool attemptIsWanted(AttemptKey key);
  bool mayHold(const leverrelay::EngineId& engine) const;
  // Whether nothing that is held for a request can be of use to it any more: it streams, or is
  // over.
  bool needsNothingHeld(const leverrelay::RequestId& request) const;
  bool passed(AttemptKey key, std::string_view part);
  void written(AttemptKey key);  // the attempt's last byte is out
  void ended(AttemptKey key, const Result& result);
  void placeAnswered(AttemptKey reading, const leverrelay::EngineId& engine, bool held);
  void probed(const leverrelay::EngineId& engine, double tookMs, bool answered);

  // From the operators: this process ends, and is killed no sooner than so long from now.
  void stopping(double graceMs) { post(leverrelay::Stopping{toModule(graceMs)}); }

  // ---- Streams that pass from one process of this conductor to the next ----
  struct Stream {
    RequestKey request;
    AttemptKey attempt;
    leverrelay::Arrival arrival;
    leverrelay::EngineId engine;
  };
  std::vector<RequestKey> streams() const;
  std::optional<Stream> streamOf(RequestKey key) const;
  void handedOver(
      RequestKey key);  // another process has it: no answer and no attempt of it is here any more
  // Nothing if a request of this id is known here.
  std::optional<Stream> adopt(leverrelay::Arrival arrival,
                              const leverrelay::EngineId& engine,
                              std::shared_ptr<Answerer> answerer);

  std::size_t enginesKnown() const { return fleet_.size(); }
  std::size_t open() const { return unanswered_; }  // requests that are owed an answer or its rest
  std::size_t openAt(const leverrelay::EngineId& engine) const;  // attempts that are out there
  const Figures& figures() const { return figures_; }
  // Whether the module passes a listed engine over by its own judgement.
  bool avoids(const leverrelay::EngineId& engine) const {
    return router_.avoids(toModuleTime(clock_.nowMs()), engine);
  }

 private:
  struct Listing {  // what the list last said of an engine
    InstanceFacts facts;
    bool gone = false;
  };
  struct Attempt {
    RequestKey request;
    int number = 0;
    leverrelay::EngineId engine;
    double sentMs = 0;
    leverrelay::Time before = leverrelay::Time::max();  // to go out
    bool opened = false;
    std::optional<Deadlines::Key> until;
  };
  struct Request {
    leverrelay::RequestId id;
    leverrelay::Arrival told;
    std::size_t cls = 0;
    std::shared_ptr<const Payload> payload;
    std::shared_ptr<Answerer>
        answerer;  // none once the final answer is given or the client is gone
    std::vector<AttemptKey> attempts;
    std::size_t out = 0;
    RequestFacts facts;
    double closedMs = 0;  // when a connection of an attempt was last closed from this side
    double endedMs = 0;   // when an attempt last ended
    AttemptKey stream;
    // Of its last attempt that ended: the names of its outcome, and of what kind of engine that was
    // at.
    const char *lastOutcome = "nothing_sent", *lastAt = "";
    std::optional<Deadlines::Key> overdue;
  };

  bool clientWaits(RequestKey key);
  bool clientPresent(RequestKey key);
  Permit permitOf(AttemptKey key);
  const InstanceFacts* instance(const leverrelay::EngineId& engine) const;
  void report(const std::vector<Violation>& violations, const Request& request);
  void refuse(const leverrelay::Refuse& refuse);
  void fail(const leverrelay::Fail& fail);
  void learn(const leverrelay::Settings& settings);
  RequestFacts factsOf(leverrelay::ClassIndex cls) const;
  bool repeatsFreely(const Request& request) const;
  double closesArriveMs(const Request& request, bool safeToo) const;
  void post(leverrelay::Event event);
  void run();
  void act(const leverrelay::Action& action);
  void carryOut(const leverrelay::Send& send);
  void carryOut(const leverrelay::HoldPlace& hold);
  void carryOut(const leverrelay::Cancel& cancel);
  void carryOut(const leverrelay::MoveStream& move);
  void moveOnceRead(AttemptKey key, int looks);

  Request* byId(const leverrelay::RequestId& id);
  void timeOut(AttemptKey key);
  void close(AttemptKey key, const Result& result);
  void callOffAll(RequestKey key);
  std::shared_ptr<Answerer> conclude(Request& request, Ending how);
  void forgetIfDone(RequestKey key);
  void forgetGone();

  const Clock& clock_;
  Deadlines& deadlines_;
  Counters& counters_;
  leverrelay::Router router_;
  double drainGraceMs_, answerGraceMs_;
  RequestPermits permits_;
  std::vector<bool> kindReads_;  // by kind of engine
  std::vector<leverrelay::ClassSettings> classes_;
  bool secondCopies_ = false;
  Engines* engines_ = nullptr;
  std::function<void(const std::string&)> log_ = [](const std::string&) {};
  std::function<void(const leverrelay::Action&)> watch_;
  std::vector<std::function<void(const leverrelay::Event&)>> watchEvents_;
  Slots<Request> requests_;
  Slots<Attempt> attempts_;
  std::map<leverrelay::RequestId, RequestKey> byId_;
  std::map<leverrelay::EngineId, Listing> fleet_;
  std::map<leverrelay::EngineId, std::size_t> outAt_;  // of engines with any
  std::deque<leverrelay::Event> events_;
  std::vector<RequestKey> lapsed_;
  Figures figures_;
  std::size_t unanswered_ = 0;
  bool running_ = false;
};

}  // namespace dahliastall::core
