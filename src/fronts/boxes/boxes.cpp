#include "fronts/boxes/boxes.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "fronts/boxes/event_gate.h"
#include "fronts/boxes/usage.h"

namespace dahliastall::fronts {

using leverrelay::EngineId;
using leverrelay::Outcome;
using leverrelay::RequestId;

namespace {

constexpr double kPlaceAnswerMs = 1000;  // a box answers within 0.3 s, or is silent
constexpr double kProbeAnswerMs = 1000;
constexpr double kLastChunkMs = 1000;  // to follow the event that ends a stream
// Without anything on a stream that has begun: its client may be left waiting 5 s. Slow boxes send every few
// seconds at worst.
constexpr double kStallMs = 4200;

}  // namespace

// ---- One attempt -----------------------------------------------------------------------------------

class Boxes::AttemptCall final : public net::CallSink {
 public:
  AttemptCall(Boxes& boxes, const core::Dispatch& dispatch)
      : boxes_(boxes),
        key_(dispatch.attempt),
        request_(dispatch.request),
        engine_(dispatch.engine),
        untilMs_(dispatch.untilMs),
        reads_(dispatch.reads) {}

  ~AttemptCall() override {
    boxes_.deadlines_.cancel(last_);
    boxes_.deadlines_.cancel(stall_);
    boxes_.deadlines_.cancel(taken_);
  }

  const RequestId& request() const { return request_; }
  bool isWritten() const { return writtenMs_ < HUGE_VAL; }
  // Until when a release beside it might take what it goes on with. A read whose bytes are not out yet has
  // nothing, however long its connection takes to come up; a write needs the state that waits for it.
  double heldBackMs() const {
    if (!isWritten() && reads_) return 0;
    return writtenMs_ + boxes_.releaseWithinMs_;
  }
  void known() { known_ = true; }  // to be out at its instance
  bool isKnown() const { return known_; }
  core::AttemptKey key() const { return key_; }
  void hold(std::shared_ptr<net::Call> call) { call_ = std::move(call); }
  net::Call& call() { return *call_; }

  // A stream that another process began: its head and first events have passed already.
  void takeUp(const std::string& event) {
    status_ = 200;
    begun_ = true;
    writtenMs_ = boxes_.clock_.nowMs();
    gate_.see(event);
  }
  bool finished() const { return gate_.finished(); }
  const std::string& part() const { return gate_.part(); }

  // A place is asked for right after the last byte of the read: before it the box knows of no read.
  void placeAt(const EngineId& engine) {
    if (isWritten()) boxes_.askPlace(request_, key_, engine);
    else place_ = engine;
  }

  bool ready() override { return boxes_.conductor_.maySend(key_); }

  // Rounded down: its instance is told no more than its client has left.
  net::Fields fieldsAsWritten() override {
    const double leftMs = std::max(0.0, std::floor(untilMs_ - boxes_.clock_.nowMs()));
    return {{boxes_.dialect_.budgetHeader, std::to_string(static_cast<long>(leftMs))}};
  }

  void written() override {
    writtenMs_ = boxes_.clock_.nowMs();
    if (!reads_) watchForTaking();
    boxes_.conductor_.written(key_);
    if (place_) boxes_.askPlace(request_, key_, *std::exchange(place_, std::nullopt));
  }

  void head(const net::ResponseHead& head) override {
    status_ = head.result_int();
    first_ = call_->first();
    rejected_ = head.find(boxes_.dialect_.rejectedHeader) != head.end();
    boxes_.heard(engine_);
  }

  bool body(std::string_view part) override {
    usage_.see(part);
    if (status_ != 200) return true;
    const std::optional<std::string> events = gate_.see(part);
    if (!events) {
      call_->garbled();
      return true;
    }
    if (gate_.finished() && !last_)
      last_ = boxes_.deadlines_.add(boxes_.clock_.nowMs() + kLastChunkMs, [this] {
        last_.reset();
        call_->garbled();
      });
    if (events->empty()) return true;  // part of an event is no sign of life to the client
    begun_ = true;
    ++parts_;
    watchForStall();
    if (boxes_.conductor_.passed(key_, *events)) return true;
    boxes_.deadlines_.cancel(stall_);  // a slow client holds the stream back, not its box
    return false;
  }

  // Guards the state that a writer is to take: what was sent to a box that no longer reads this connection,
  // or was answered with a piece that is none of a stream under way, has taken nothing, and the time of what
  // is held goes on. Where it did arrive, the release takes nothing from it.
  void watchForTaking() {
    taken_ = boxes_.deadlines_.add(writtenMs_ + boxes_.releaseWithinMs_, [this] {
      taken_.reset();
      if (parts_ < 2) boxes_.releases_.releaseBeside(request_);
    });
  }

  // Guards a client against a box that goes silent in the middle of its answer.
  void watchForStall() {
    boxes_.deadlines_.cancel(stall_);
    if (!begun_ || call_->state() == net::Call::State::kOver) return;
    stall_ = boxes_.deadlines_.add(boxes_.clock_.nowMs() + kStallMs, [this] {
      stall_.reset();
      ++boxes_.counters_["attempts.stalled"];
      boxes_.unheard(engine_);
      call_->abandon();
      end({Outcome::kTimeout});
    });
  }

  // A last chunk ahead of the event that ends a stream is none of a whole stream.
  void done() override {
    if (status_ == 200 && !gate_.finished()) return failed(net::CallFailure::kGarbled);
    end(result());
  }

  void failed(net::CallFailure why) override {
    // Any box may send a spoilt answer now and then: it runs, and is not to be left out as one that is lost.
    // The request may have run, as after any error. A head comes with the first token: a writer that sent
    // one, however spoilt, had fetched the state, and the next would have to read the whole prompt itself.
    if (why == net::CallFailure::kGarbled) {
      ++boxes_.counters_["answers.garbled"];
      return end({Outcome::kError, 0, true});
    }
    if (why != net::CallFailure::kWithdrawn) boxes_.unheard(engine_);
    // After a reset the other idle connections to that box are as dead as this one was.
    if (why == net::CallFailure::kReset)
      if (const Box* box = boxes_.directory_.find(engine_)) boxes_.pool_.dropIdle(box->address);
    end({why == net::CallFailure::kNoConnection ? Outcome::kNoConnection
         : why == net::CallFailure::kReset      ? Outcome::kConnectionLost
                                                : Outcome::kNotSent});
  }

 private:
  core::Result result() const {
    if (status_ == 200) return {Outcome::kServed, usage_.cachedTokens()};
    if (status_ == 202) return {Outcome::kRead, usage_.cachedTokens()};
    // Guards against a late second answer to the request before, which would be taken for a proof that this
    // one never ran: nothing in an answer names its request, so it proves that on a fresh connection alone.
    if (rejected_ && status_ == 410) return {Outcome::kFull, 0, true, !first_};
    if (rejected_ && (status_ == 503 || status_ == 504)) return {Outcome::kFull, 0, false, !first_};
    return {Outcome::kError};
  }

  void end(const core::Result& result) {
    Boxes& boxes = boxes_;
    const core::AttemptKey key = key_;
    boxes.deadlines_.cancel(last_);
    boxes.deadlines_.cancel(stall_);
    boxes.deadlines_.cancel(taken_);
    boxes.attempts_.erase(key.slot);
    boxes.conductor_.ended(key, result);
  }

  Boxes& boxes_;
  core::AttemptKey key_;
  RequestId request_;
  EngineId engine_;
  std::shared_ptr<net::Call> call_;
  std::optional<EngineId> place_;
  UsageReader usage_;
  EventGate gate_;
  std::optional<core::Deadlines::Key> last_, stall_, taken_;
  double untilMs_;               // its answer is waited for
  double writtenMs_ = HUGE_VAL;  // its last byte; until then in no time
  int parts_ = 0;                // in which whole events came
  unsigned status_ = 0;
  bool reads_;
  bool begun_ = false, rejected_ = false, known_ = false, first_ = false;
};

// ---- Places, releases and probes -------------------------------------------------------------------

// Whatever becomes of it, it settles once. One that was written and got no clear no may be held all the same,
// also when its read has ended, and nobody else would let go of it then.
class Boxes::PlaceCall final : public net::CallSink, public std::enable_shared_from_this<PlaceCall> {
 public:
  PlaceCall(Boxes& boxes, RequestId request, core::AttemptKey reading, EngineId engine)
      : boxes_(boxes), request_(std::move(request)), reading_(reading), engine_(std::move(engine)) {
    boxes_.releases_.placeAsked(request_);
  }

  // After its read has ended, or its client has left, a place would only be pinned.
  bool ready() override {
    return boxes_.attempt(reading_) && boxes_.conductor_.mayHold(engine_) &&
           boxes_.conductor_.attemptIsWanted(reading_);
  }
  void written() override {
    written_ = true;
    open_ = boxes_.deadlines_.add(boxes_.clock_.nowMs() + boxes_.releaseWithinMs_, [self = weak_from_this()] {
      const auto place = self.lock();
      if (!place) return;
      place->open_.reset();
      place->doubt();
    });
  }
  void head(const net::ResponseHead& head) override {
    status_ = head.result_int();
    boxes_.heard(engine_);
  }
  void done() override {
    ++boxes_.counters_["places.answered"];
    // 204: not known; it may be held, and a note that it is not would be a guess.
    if (const auto read = boxes_.attempt(reading_); read && status_ == 200) read->known();
    if (status_ == 200) boxes_.conductor_.placeAnswered(reading_, engine_, true);
    if (status_ == 409 || status_ == 404) boxes_.conductor_.placeAnswered(reading_, engine_, false);
    settle(status_ == 409 || status_ == 404);
  }
  void failed(net::CallFailure) override { settle(!written_); }
  void givenUp() { settle(!written_); }

 private:
  void settle(bool nothingHeld) {
    boxes_.deadlines_.cancel(open_);
    boxes_.releases_.placeSettled(request_);
    if (!nothingHeld) doubt();
  }

  // It may be held, and its read may never have reached its reader: nothing tells of either, and while no
  // attempt is out at an instance the place's time goes on. One that is known to be held has its read out:
  // its request's own end or first event lets go of it.
  void doubt() {
    const bool useless = boxes_.conductor_.needsNothingHeld(request_);
    if (status_ == 200 && !useless) return;
    ++boxes_.counters_["places.doubtful"];
    if (useless) boxes_.releases_.release(request_);
    else boxes_.releases_.releaseBeside(request_);
  }

  Boxes& boxes_;
  RequestId request_;
  core::AttemptKey reading_;
  EngineId engine_;
  std::optional<core::Deadlines::Key> open_;
  unsigned status_ = 0;
  bool written_ = false;
};

class Boxes::ProbeCall final : public net::CallSink {
 public:
  ProbeCall(Boxes& boxes, EngineId engine)
      : boxes_(boxes), engine_(std::move(engine)), sentMs_(boxes.clock_.nowMs()) {}
  void head(const net::ResponseHead& head) override {
    well_ = head.result_int() == 200;
    boxes_.heard(engine_);
  }
  void done() override { end(well_); }
  void failed(net::CallFailure) override { end(false); }
  void end(bool well) { boxes_.conductor_.probed(engine_, boxes_.clock_.nowMs() - sentMs_, well); }

 private:
  Boxes& boxes_;
  EngineId engine_;
  double sentMs_;
  bool well_ = false;
};

// ---- Boxes -----------------------------------------------------------------------------------------

Boxes::Boxes(BoxDialect dialect, core::Conductor& conductor, net::Pool& pool, Directory& directory,
             const core::Clock& clock, core::Deadlines& deadlines, core::Counters& counters,
             double releaseWithinMs)
    : dialect_(std::move(dialect)),
      conductor_(conductor),
      pool_(pool),
      directory_(directory),
      clock_(clock),
      deadlines_(deadlines),
      counters_(counters),
      releaseWithinMs_(releaseWithinMs),
      releases_(
          pool, directory, clock, deadlines, counters, releaseWithinMs,
          [this](const RequestId& request, const Box& box) {
            return head("DELETE", dialect_.roomsPath + request.value, box, {{"Content-Length", "0"}});
          },
          [this](const RequestId& request) { return heldBackMs(request); }) {
  conductor_.connect(*this);
}

// A call and its sink hold each other while it runs.
Boxes::~Boxes() {
  for (const auto& [slot, sink] : attempts_) sink->call().abandon();
}

std::shared_ptr<Boxes::AttemptCall> Boxes::attempt(core::AttemptKey key) const {
  const auto it = attempts_.find(key.slot);
  return it == attempts_.end() || it->second->key() != key ? nullptr : it->second;
}

// The last one's, should there be several. One that is known to be out at its instance needs no release
// beside it: no time passes meanwhile for what is held.
std::optional<double> Boxes::heldBackMs(const RequestId& request) const {
  std::optional<double> last;
  for (const auto& [slot, sink] : attempts_)
    if (sink->request() == request && !sink->isKnown())
      last = std::max(last.value_or(sink->heldBackMs()), sink->heldBackMs());
  return last;
}

std::string Boxes::head(const std::string& method, const std::string& target, const Box& box,
                        net::Fields fields) const {
  fields.insert(fields.begin(),
                {"Host", box.address.address().to_string() + ":" + std::to_string(box.address.port())});
  fields.insert(fields.end(), dialect_.extra.begin(), dialect_.extra.end());
  return net::headText(method + " " + target + " HTTP/1.1", fields);
}

void Boxes::heard(const EngineId& engine) {
  if (Box* box = directory_.find(engine)) box->heardMs = clock_.nowMs();
}

void Boxes::unheard(const EngineId& engine) {
  if (Box* box = directory_.find(engine)) box->failedMs = clock_.nowMs();
}

void Boxes::start(const core::Dispatch& dispatch) {
  const Box* box = directory_.find(dispatch.engine);
  if (box == nullptr) return conductor_.ended(dispatch.attempt, {Outcome::kNotSent});
  const auto& payload = static_cast<const ChatPayload&>(*dispatch.payload);
  net::Fields fields{{dialect_.idHeader, dispatch.request.value},
                     {"Content-Length", std::to_string(payload.body->size())}};
  if (!payload.contentType.empty()) fields.emplace_back("Content-Type", payload.contentType);
  fields.insert(fields.end(), payload.passed.begin(), payload.passed.end());
  releases_.attemptGoesOut(dispatch.request);
  const auto sink = std::make_shared<AttemptCall>(*this, dispatch);
  attempts_[dispatch.attempt.slot] = sink;
  sink->hold(pool_.call(box->address, head(payload.method, payload.target, *box, std::move(fields)),
                        payload.body, sink, net::Pool::Urgency::kInTurn, dispatch.afterMs));
}

void Boxes::abandon(core::AttemptKey key) {
  const auto sink = attempt(key);
  if (!sink) return;
  attempts_.erase(key.slot);
  sink->call().abandon();
}

void Boxes::pause(core::AttemptKey key, std::function<void()> quiet) {
  if (const auto sink = attempt(key)) sink->call().pause(std::move(quiet));
}

void Boxes::goOn(core::AttemptKey key) {
  if (const auto sink = attempt(key)) sink->call().goOn();
}

// What has its last event is over within a moment.
std::optional<Boxes::Rest> Boxes::rest(core::AttemptKey key) {
  const auto sink = attempt(key);
  if (!sink || sink->finished()) return std::nullopt;
  const auto call = sink->call().rest();
  if (!call) return std::nullopt;
  return Rest{*call, sink->part()};
}

void Boxes::leave(core::AttemptKey key) { abandon(key); }

bool Boxes::adopt(core::AttemptKey key, const RequestId& request, const EngineId& engine,
                  const net::Endpoint& address, const Rest& rest) {
  const auto sink =
      std::make_shared<AttemptCall>(*this, core::Dispatch{key, request, engine, nullptr, 0, false});
  const auto call = pool_.adopt(address, rest.call, sink);
  if (!call) return false;
  sink->hold(call);
  sink->takeUp(rest.event);
  attempts_[key.slot] = sink;
  sink->watchForStall();
  call->goOn();
  return true;
}

void Boxes::resume(core::AttemptKey key) {
  const auto sink = attempt(key);
  if (!sink) return;
  sink->watchForStall();
  sink->call().resume();
}

// One whose last event has come is all but over, too.
bool Boxes::unread(core::AttemptKey key) const {
  const auto sink = attempt(key);
  return sink && (sink->finished() || sink->call().unread());
}

// A release that is still under way would let go of the new place as well.
void Boxes::holdPlace(const RequestId& request, core::AttemptKey reading, const EngineId& engine) {
  releases_.afterwards(request, [this, reading, engine] {
    if (const auto sink = attempt(reading)) sink->placeAt(engine);
  });
}

void Boxes::askPlace(const RequestId& request, core::AttemptKey reading, const EngineId& engine) {
  const Box* box = directory_.find(engine);
  if (box == nullptr) return;
  const auto sink = std::make_shared<PlaceCall>(*this, request, reading, engine);
  const auto call = pool_.call(
      box->address,
      // No id in its head: a call that carries one could be taken for an attempt.
      head("POST", dialect_.roomsPath + request.value, *box, {{"Content-Length", "0"}}), nullptr, sink);
  deadlines_.add(clock_.nowMs() + kPlaceAnswerMs, [call, sink] {
    if (call->state() == net::Call::State::kOver) return;
    call->abandon();
    sink->givenUp();
  });
}

void Boxes::release(const RequestId& request) { releases_.release(request); }

void Boxes::probe(const EngineId& engine) {
  const Box* box = directory_.find(engine);
  const auto sink = std::make_shared<ProbeCall>(*this, engine);
  if (box == nullptr) return sink->end(false);
  const auto call = pool_.call(box->address, head("GET", dialect_.healthPath, *box, {}), nullptr, sink);
  deadlines_.add(clock_.nowMs() + kProbeAnswerMs, [call, sink] {
    if (call->state() == net::Call::State::kOver) return;
    call->abandon();
    sink->end(false);
  });
}

}  // namespace dahliastall::fronts
