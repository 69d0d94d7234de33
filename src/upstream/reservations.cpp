#include "upstream/reservations.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

namespace {

constexpr double kAnswerTimeoutMs = 1000;  // a responsive instance answers within 0.3 s
constexpr unsigned kGrantedStatus = 200;
constexpr unsigned kUnavailableStatus = 404;
constexpr unsigned kRefusedStatus = 409;

ReservationLease::Answer answerOf(unsigned status) {
  if (status == kGrantedStatus)
    return ReservationLease::Answer::kGranted;
  if (status == kRefusedStatus || status == kUnavailableStatus)
    return ReservationLease::Answer::kRefused;
  return ReservationLease::Answer::kUnknown;
}

}  // namespace

// One reservation call, the first one or a renewal.
class Reservations::Sink final : public TimedCallSink {
 public:
  Sink(Reservations& owner, Number number, InstanceId instance)
      : owner_(owner), number_(number), instance_(std::move(instance)) {}

  bool ready() override { return owner_.isNeeded(number_); }
  void written() override {
    written_ = true;
    owner_.written(number_);
  }
  void head(const net::ResponseHead& head) override {
    status_ = head.result_int();
    const CallServices& services = owner_.services_;
    services.directory.recordAnswer(instance_, services.clock.nowMs());
  }
  void done() override { owner_.answered(number_, status_); }
  void failed(net::CallFailure) override { owner_.unanswered(number_, written_); }

 private:
  void timedOut() override { owner_.timedOut(number_, written_); }

  Reservations& owner_;
  Number number_;
  InstanceId instance_;
  unsigned status_ = 0;
  bool written_ = false;
};

Reservations::Reservations(const CallServices& services,
                           core::RequestDispatcher& dispatcher,
                           Releases& releases,
                           OwedReleaseCalls& owed,
                           double releaseLimitMs,
                           Head head,
                           PrefillInFlight prefillInFlight)
    : services_(services),
      dispatcher_(dispatcher),
      releases_(releases),
      owed_(owed),
      releaseLimitMs_(releaseLimitMs),
      head_(std::move(head)),
      prefillInFlight_(std::move(prefillInFlight)) {}

// Calls and their sinks refer to each other until the call is over.
Reservations::~Reservations() {
  for (auto& [number, reservation] : reservations_)
    if (reservation.call)
      reservation.call->abandon();
}

void Reservations::reserve(const RequestId& request,
                           core::AttemptKey prefill,
                           const InstanceId& instance) {
  if (services_.directory.find(instance) == nullptr)
    return;
  const Number number = ++lastNumber_;
  reservations_.try_emplace(number, request, prefill, instance, releaseLimitMs_);
  send(number);
}

void Reservations::send(Number number) {
  Reservation& reservation = reservations_.at(number);
  const InstanceEndpoint* endpoint = services_.directory.find(reservation.instance);
  if (endpoint == nullptr)
    return unanswered(number, /*written=*/false);
  const auto urgency = reservation.renewed ? net::ConnectionPool::Urgency::kUrgent
                                           : net::ConnectionPool::Urgency::kNormal;
  const std::string head = head_(reservation.request, *endpoint);
  const auto sink = std::make_shared<Sink>(*this, number, reservation.instance);
  releases_.reservationSent(reservation.request);
  reservation.sink = sink;
  const auto call =
      TimedCallSink::start(services_, endpoint->address, head, sink, urgency, kAnswerTimeoutMs);
  const auto found = reservations_.find(number);
  if (found != reservations_.end() && found->second.sink == sink)
    found->second.call = call;
}

// Whether the reservation is still needed: not after its prefill has ended or its client has
// disconnected.
bool Reservations::isNeeded(Number number) const {
  const auto found = reservations_.find(number);
  if (found == reservations_.end())
    return false;
  const Reservation& reservation = found->second;
  return prefillInFlight_(reservation.prefill) && dispatcher_.mayReserve(reservation.instance) &&
         dispatcher_.attemptIsWanted(reservation.prefill);
}

void Reservations::written(Number number) {
  const auto found = reservations_.find(number);
  if (found == reservations_.end())
    return;
  const double nowMs = services_.clock.nowMs();
  found->second.requestedMs = nowMs;
  found->second.lease.requested(nowMs);
  advance(number);
}

void Reservations::answered(Number number, unsigned status) {
  ++services_.counters["places.answered"];
  Reservation& reservation = reservations_.at(number);
  const bool renewed = reservation.renewed;
  if (renewed)
    ++services_.counters["places.renewed." + std::to_string(status)];
  const core::AttemptKey prefill = reservation.prefill;
  const InstanceId instance = reservation.instance;
  const RequestId request = reservation.request;
  const ReservationLease::Answer answer = answerOf(status);
  reservation.lease.answered(answer);
  callEnded(number);
  // A reservation that is granted after the request began to stream or ended is not used by any
  // attempt.
  if (answer == ReservationLease::Answer::kGranted && dispatcher_.needsNoHeldState(request))
    releases_.release(request);
  // If the outcome is unknown, nothing is reported: the instance may hold a reservation.
  if (answer == ReservationLease::Answer::kGranted && !renewed)
    dispatcher_.reservationAnswered(prefill, instance, true);
  if (answer == ReservationLease::Answer::kRefused)
    dispatcher_.reservationAnswered(prefill, instance, false);
}

void Reservations::unanswered(Number number, bool written) {
  Reservation& reservation = reservations_.at(number);
  if (written)
    reservation.lease.answered(ReservationLease::Answer::kNone);
  else
    reservation.lease.requestFailed();
  callEnded(number);
}

// A stopped instance may still read the call when it resumes, so it is owed a release of the
// reservation that it may then grant.
void Reservations::timedOut(Number number, bool written) {
  const Reservation& reservation = reservations_.at(number);
  if (written)
    owed_.owe(reservation.instance, reservation.request);
  unanswered(number, written);
}

void Reservations::callEnded(Number number) {
  Reservation& reservation = reservations_.at(number);
  const bool wasInFlight = std::exchange(reservation.sink, nullptr) != nullptr;
  if (wasInFlight) {
    reservation.call = nullptr;
    releases_.reservationSettled(reservation.request);
  }
  advance(number);
}

// Performs the next step of a reservation: renews it, releases it, or ends it.
void Reservations::advance(Number number) {
  const auto found = reservations_.find(number);
  if (found == reservations_.end())
    return;
  Reservation& reservation = found->second;
  reservation.nextTimer.cancel();
  const double nowMs = services_.clock.nowMs();
  switch (reservation.lease.due(nowMs)) {
    case ReservationLease::Step::kRelease:
      reservation.lease.releasing(nowMs);
      release(reservation);
      break;
    case ReservationLease::Step::kRenew:
      reservation.lease.renewing();
      reservation.renewed = true;
      send(number);
      return advance(number);
    case ReservationLease::Step::kNone:
      break;
  }
  if (reservation.lease.over() && !reservation.sink) {
    reservations_.erase(number);
    return;
  }
  if (const auto dueMs = reservation.lease.nextMs())
    reservation.nextTimer = services_.timers.schedule(*dueMs, [this, number] { advance(number); });
}

// The reservation may be held although its prefill never reached its instance, and neither is known
// here. Without an attempt in flight at an instance, held state has to be released in time.
void Reservations::release(Reservation& reservation) {
  ++services_.counters["places.doubtful"];
  if (!std::exchange(reservation.logged, true))
    logDoubt(reservation);
  if (dispatcher_.needsNoHeldState(reservation.request))
    releases_.release(reservation.request);
  else
    releases_.releaseDuringAttempt(reservation.request);
}

void Reservations::logDoubt(const Reservation& reservation) const {
  const long requestedMsAgo = std::lround(services_.clock.nowMs() - reservation.requestedMs);
  dispatcher_.log("reservation in doubt: request " + reservation.request.value + " at " +
                  reservation.instance.value + ", asked " + std::to_string(requestedMsAgo) +
                  " ms ago" + (reservation.renewed ? ", granted before" : ""));
}

void Reservations::prefillEnded(core::AttemptKey prefill) {
  std::vector<Number> ended;
  for (const auto& [number, reservation] : reservations_)
    if (reservation.prefill == prefill)
      ended.push_back(number);
  for (const Number number : ended) {
    reservations_.at(number).lease.prefillEnded();
    advance(number);
  }
}

double Reservations::coversUntilMs(const RequestId& request) const {
  double untilMs = 0;
  for (const auto& [number, reservation] : reservations_)
    if (reservation.request == request)
      untilMs = std::max(untilMs, reservation.lease.coversUntilMs());
  return untilMs;
}

}  // namespace inference_router::upstream
