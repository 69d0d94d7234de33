/// Requests reservations at decode instances, and renews them while the prefill is in flight.
/// ReservationLease decides when to renew and when to release. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "core/request_dispatcher.h"
#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/owed_release_calls.h"
#include "upstream/releases.h"
#include "upstream/reservation_lease.h"
#include "upstream/timed_call_sink.h"

namespace inference_router::upstream {

class Reservations {
 public:
  /// Returns the head of the message that requests a reservation.
  using Head = std::function<std::string(const routing::RequestId&, const InstanceEndpoint&)>;
  using PrefillInFlight = std::function<bool(core::AttemptKey)>;

  /// releaseLimitMs is the time within which everything has to be released.
  Reservations(const CallServices& services,
               core::RequestDispatcher& dispatcher,
               Releases& releases,
               OwedReleaseCalls& owed,
               double releaseLimitMs,
               Head head,
               PrefillInFlight prefillInFlight);
  ~Reservations();
  Reservations(const Reservations&) = delete;
  Reservations& operator=(const Reservations&) = delete;

  /// Requests a reservation at an instance for a request whose prefill has just been written.
  void reserve(const routing::RequestId& request,
               core::AttemptKey prefill,
               const routing::InstanceId& instance);
  void prefillEnded(core::AttemptKey prefill);
  /// Until when a release during the request's prefill could affect a reservation that the request
  /// needs; 0 if there is none.
  double coversUntilMs(const routing::RequestId& request) const;
  void setReleaseLimit(double ms) { releaseLimitMs_ = ms; }

 private:
  class Sink;
  using Number = std::uint64_t;
  struct Reservation {
    Reservation(routing::RequestId request,
                core::AttemptKey prefill,
                routing::InstanceId instance,
                double releaseLimitMs)
        : request(std::move(request)),
          prefill(prefill),
          instance(std::move(instance)),
          lease(releaseLimitMs) {}
    routing::RequestId request;
    core::AttemptKey prefill;
    routing::InstanceId instance;
    ReservationLease lease;
    double requestedMs = 0;  // when the last call was written
    bool renewed = false;
    bool logged = false;         // as being in doubt
    std::shared_ptr<Sink> sink;  // of the call in flight
    std::shared_ptr<net::Call> call;
    core::Timer nextTimer;
  };

  void send(Number number);
  bool isNeeded(Number number) const;
  void written(Number number);
  void answered(Number number, unsigned status);
  void unanswered(Number number, bool written);
  void timedOut(Number number, bool written);
  void callEnded(Number number);
  void advance(Number number);
  void release(Reservation& reservation);
  void logDoubt(const Reservation& reservation) const;

  CallServices services_;
  core::RequestDispatcher& dispatcher_;
  Releases& releases_;
  OwedReleaseCalls& owed_;
  double releaseLimitMs_;
  Head head_;
  PrefillInFlight prefillInFlight_;
  std::map<Number, Reservation> reservations_;
  Number lastNumber_ = 0;
};

}  // namespace inference_router::upstream
