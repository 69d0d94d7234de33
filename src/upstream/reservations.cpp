#include "upstream/reservations.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace inference_router::upstream {

using routing::InstanceId;
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
  Sink(Reservations& owner, Number number, InstanceId instance)
      : owner_(owner), number_(number), instance_(std::move(instance)) {}
  bool ready() override { return owner_.wanted(number_); }
  void written() override {
    written_ = true;
    owner_.written(number_);
  }
  void head(const net::ResponseHead& head) override {
    status_ = head.result_int();
    if (InstanceEndpoint* endpoint = owner_.directory_.find(instance_))
      endpoint->heardMs = owner_.clock_.nowMs();
  }
  void done() override { owner_.answered(number_, status_); }
  void failed(net::CallFailure) override { owner_.unanswered(number_, written_); }
  bool isWritten() const { return written_; }

 private:
  Reservations& owner_;
  Number number_;
  InstanceId instance_;
  unsigned status_ = 0;
  bool written_ = false;
};

Reservations::Reservations(core::RequestDispatcher& dispatcher,
                           net::ConnectionPool& pool,
                           InstanceDirectory& directory,
                           const core::Clock& clock,
                           core::TimerQueue& timers,
                           core::Counters& counters,
                           Releases& releases,
                           OwedReleaseCalls& owed,
                           double withinMs,
                           Head head,
                           PrefillIsOut prefillIsOut)
    : dispatcher_(dispatcher),
      pool_(pool),
      directory_(directory),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      releases_(releases),
      owed_(owed),
      withinMs_(withinMs),
      head_(std::move(head)),
      prefillIsOut_(std::move(prefillIsOut)) {}

// A call and its sink hold each other while it runs.
Reservations::~Reservations() {
  for (auto& [number, reservation] : reservations_) {
    timers_.cancel(reservation.next);
    timers_.cancel(reservation.limit);
    if (reservation.call)
      reservation.call->abandon();
  }
}

void Reservations::ask(const RequestId& request,
                       core::AttemptKey prefill,
                       const InstanceId& instance) {
  if (directory_.find(instance) == nullptr)
    return;
  const Number number = ++numbers_;
  reservations_.try_emplace(number, request, prefill, instance, withinMs_);
  send(number);
}

void Reservations::send(Number number) {
  Reservation& reservation = reservations_.at(number);
  const InstanceEndpoint* endpoint = directory_.find(reservation.instance);
  if (endpoint == nullptr)
    return unanswered(number, /*written=*/false);
  const auto urgency = reservation.renewed ? net::ConnectionPool::Urgency::kFirst
                                           : net::ConnectionPool::Urgency::kInTurn;
  const std::string head = head_(reservation.request, *endpoint);
  const auto sink = std::make_shared<Sink>(*this, number, reservation.instance);
  releases_.placeAsked(reservation.request);
  reservation.sink = sink;
  reservation.limit = timers_.add(clock_.nowMs() + kAnswerMs, [this, number] { giveUp(number); });
  const auto call = pool_.call(endpoint->address, head, nullptr, sink, urgency);
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
  return prefillIsOut_(reservation.prefill) && dispatcher_.mayReserve(reservation.instance) &&
         dispatcher_.attemptIsWanted(reservation.prefill);
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
  const InstanceId instance = reservation.instance;
  const RequestId request = reservation.request;
  reservation.lease.answered(answerOf(status));
  settle(number);
  // A grant that comes once the request streams, or is over, is taken by nobody.
  if (status == kGranted && dispatcher_.needsNoHeldState(request))
    releases_.release(request);
  // 204: not known. A place may be held, and a note that none is would be a guess.
  if (status == kGranted && first)
    dispatcher_.reservationAnswered(prefill, instance, true);
  if (answerOf(status) == ReservationLease::Answer::kRefused)
    dispatcher_.reservationAnswered(prefill, instance, false);
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
    owed_.owe(reservation.instance, reservation.request);
  unanswered(number, written);
}

// A call is over.
void Reservations::settle(Number number) {
  Reservation& reservation = reservations_.at(number);
  timers_.cancel(reservation.limit);
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
  timers_.cancel(reservation.next);
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
    reservation.next = timers_.add(*at, [this, number] {
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
    dispatcher_.note("reservation in doubt: request " + reservation.request.value + " at " +
                     reservation.instance.value + ", asked " +
                     std::to_string(std::lround(clock_.nowMs() - reservation.askedMs)) + " ms ago" +
                     (reservation.renewed ? ", granted before" : ""));
  if (dispatcher_.needsNoHeldState(reservation.request))
    releases_.release(reservation.request);
  else
    releases_.releaseBeside(reservation.request);
}

void Reservations::close(Number number) {
  Reservation& reservation = reservations_.at(number);
  timers_.cancel(reservation.next);
  timers_.cancel(reservation.limit);
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
