#include "upstream/reservations.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace inference_router::upstream {

using routing::EngineId;
using routing::RequestId;

namespace {

constexpr double kAnswerMs = 1000;  // an instance answers within 0.3 s, or is silent
constexpr unsigned kGranted = 200, kUnknown = 204, kNothingDone = 404, kRefused = 409;

ReservationLease::Answer answerOf(unsigned status) {
  if (status == kGranted)
    return ReservationLease::Answer::kGranted;
  if (status == kRefused || status == kNothingDone)
    return ReservationLease::Answer::kRefused;
  return ReservationLease::Answer::kUnknown;
}

}  // namespace

// One call, the first or a renewal.
class Reservations::Sink final : public net::CallSink {
 public:
  Sink(Reservations& owner, Number number, EngineId engine)
      : owner_(owner), number_(number), engine_(std::move(engine)) {}
  bool ready() override { return owner_.wanted(number_); }
  void written() override {
    written_ = true;
    owner_.written(number_);
  }
  void head(const net::ResponseHead& head) override {
    status_ = head.result_int();
    if (Box* box = owner_.directory_.find(engine_))
      box->heardMs = owner_.clock_.nowMs();
  }
  void done() override { owner_.answered(number_, status_); }
  void failed(net::CallFailure) override { owner_.unanswered(number_, written_); }
  bool isWritten() const { return written_; }

 private:
  Reservations& owner_;
  Number number_;
  EngineId engine_;
  unsigned status_ = 0;
  bool written_ = false;
};

Reservations::Reservations(core::Conductor& conductor,
                           net::Pool& pool,
                           Directory& directory,
                           const core::Clock& clock,
                           core::Deadlines& deadlines,
                           core::Counters& counters,
                           Releases& releases,
                           OwedReleaseCalls& owed,
                           double withinMs,
                           Head head,
                           PrefillIsOut prefillIsOut)
    : conductor_(conductor),
      pool_(pool),
      directory_(directory),
      clock_(clock),
      deadlines_(deadlines),
      counters_(counters),
      releases_(releases),
      owed_(owed),
      withinMs_(withinMs),
      head_(std::move(head)),
      prefillIsOut_(std::move(prefillIsOut)) {}

// A call and its sink hold each other while it runs.
Reservations::~Reservations() {
  for (auto& [number, reservation] : reservations_) {
    deadlines_.cancel(reservation.next);
    deadlines_.cancel(reservation.limit);
    if (reservation.call)
      reservation.call->abandon();
  }
}

void Reservations::ask(const RequestId& request, core::AttemptKey prefill, const EngineId& engine) {
  if (directory_.find(engine) == nullptr)
    return;
  const Number number = ++numbers_;
  reservations_.try_emplace(number, request, prefill, engine, withinMs_);
  send(number);
}

void Reservations::send(Number number) {
  Reservation& reservation = reservations_.at(number);
  const Box* box = directory_.find(reservation.engine);
  if (box == nullptr)
    return unanswered(number, /*written=*/false);
  const auto urgency =
      reservation.renewed ? net::Pool::Urgency::kFirst : net::Pool::Urgency::kInTurn;
  const std::string head = head_(reservation.request, *box);
  const auto sink = std::make_shared<Sink>(*this, number, reservation.engine);
  releases_.placeAsked(reservation.request);
  reservation.sink = sink;
  reservation.limit =
      deadlines_.add(clock_.nowMs() + kAnswerMs, [this, number] { giveUp(number); });
  const auto call = pool_.call(box->address, head, nullptr, sink, urgency);
  const auto it = reservations_.find(number);
  if (it != reservations_.end() && it->second.sink == sink)
    it->second.call = call;
}

// After its prefill has ended, or its client has left, a reservation would only be held for
// nothing.
bool Reservations::wanted(Number number) const {
  const auto it = reservations_.find(number);
  if (it == reservations_.end())
    return false;
  const Reservation& reservation = it->second;
  return prefillIsOut_(reservation.prefill) && conductor_.mayHold(reservation.engine) &&
         conductor_.attemptIsWanted(reservation.prefill);
}

void Reservations::written(Number number) {
  const auto it = reservations_.find(number);
  if (it == reservations_.end())
    return;
  it->second.askedMs = clock_.nowMs();
  it->second.lease.asked(clock_.nowMs());
  step(number);
}

void Reservations::answered(Number number, unsigned status) {
  ++counters_["places.answered"];
  Reservation& reservation = reservations_.at(number);
  const bool first = !reservation.renewed;
  if (!first)
    ++counters_["places.renewed." + std::to_string(status)];
  const core::AttemptKey prefill = reservation.prefill;
  const EngineId engine = reservation.engine;
  const RequestId request = reservation.request;
  reservation.lease.answered(answerOf(status));
  settle(number);
  // A grant that comes once the request streams, or is over, is taken by nobody.
  if (status == kGranted && conductor_.needsNothingHeld(request))
    releases_.release(request);
  // 204: not known. A place may be held, and a note that none is would be a guess.
  if (status == kGranted && first)
    conductor_.placeAnswered(prefill, engine, true);
  if (answerOf(status) == ReservationLease::Answer::kRefused)
    conductor_.placeAnswered(prefill, engine, false);
}

void Reservations::unanswered(Number number, bool written) {
  Reservation& reservation = reservations_.at(number);
  if (written)
    reservation.lease.answered(ReservationLease::Answer::kNone);
  else
    reservation.lease.notAsked();
  settle(number);
}

// The instance may still read the call once it goes on: the release of what it grants then is owed
// to it.
void Reservations::giveUp(Number number) {
  Reservation& reservation = reservations_.at(number);
  reservation.limit.reset();
  const bool written = reservation.sink->isWritten();
  if (reservation.call)
    reservation.call->abandon();
  if (written)
    owed_.owe(reservation.engine, reservation.request);
  unanswered(number, written);
}

// A call is over.
void Reservations::settle(Number number) {
  Reservation& reservation = reservations_.at(number);
  deadlines_.cancel(reservation.limit);
  if (!std::exchange(reservation.sink, nullptr))
    return step(number);
  reservation.call = nullptr;
  releases_.placeSettled(reservation.request);
  step(number);
}

// The one place in which a reservation moves on: asks again, is released, or ends.
void Reservations::step(Number number) {
  const auto it = reservations_.find(number);
  if (it == reservations_.end())
    return;
  Reservation& reservation = it->second;
  deadlines_.cancel(reservation.next);
  const double now = clock_.nowMs();
  switch (reservation.lease.due(now)) {
    case ReservationLease::Step::kRelease:
      reservation.lease.releasing(now);
      release(reservation);
      break;
    case ReservationLease::Step::kRenew:
      reservation.lease.renewing();
      reservation.renewed = true;
      send(number);
      return step(number);
    case ReservationLease::Step::kNone:
      break;
  }
  if (reservation.lease.over() && !reservation.sink)
    return close(number);
  if (const auto at = reservation.lease.nextMs())
    reservation.next = deadlines_.add(*at, [this, number] {
      const auto due = reservations_.find(number);
      if (due == reservations_.end())
        return;
      due->second.next.reset();
      step(number);
    });
}

// It may be held, and its prefill may never have reached its instance: nothing tells of either, and
// while no attempt is out at an instance the time of what is held goes on.
void Reservations::release(Reservation& reservation) {
  ++counters_["places.doubtful"];
  if (!std::exchange(reservation.doubted, true))
    conductor_.note("reservation in doubt: request " + reservation.request.value + " at " +
                    reservation.engine.value + ", asked " +
                    std::to_string(std::lround(clock_.nowMs() - reservation.askedMs)) + " ms ago" +
                    (reservation.renewed ? ", granted before" : ""));
  if (conductor_.needsNothingHeld(reservation.request))
    releases_.release(reservation.request);
  else
    releases_.releaseBeside(reservation.request);
}

void Reservations::close(Number number) {
  Reservation& reservation = reservations_.at(number);
  deadlines_.cancel(reservation.next);
  deadlines_.cancel(reservation.limit);
  reservations_.erase(number);
}

void Reservations::prefillEnded(core::AttemptKey prefill) {
  std::vector<Number> ended;
  for (auto& [number, reservation] : reservations_)
    if (reservation.prefill == prefill)
      ended.push_back(number);
  for (const Number number : ended) {
    reservations_.at(number).lease.prefillEnded();
    step(number);
  }
}

double Reservations::coversUntilMs(const RequestId& request) const {
  double until = 0;
  for (const auto& [number, reservation] : reservations_)
    if (reservation.request == request)
      until = std::max(until, reservation.lease.coversUntilMs());
  return until;
}

}  // namespace inference_router::upstream
