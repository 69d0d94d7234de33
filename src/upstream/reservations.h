/// Carries the calls for reservations at decode instances, and renews what was granted while the
/// prefill is out. When to renew and when to release is ReservationLease's.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/request_dispatcher.h"
#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/owed_release_calls.h"
#include "upstream/releases.h"
#include "upstream/reservation_lease.h"

namespace inference_router::upstream {

class Reservations {
 public:
  /// The head of the message that asks for a reservation.
  using Head = std::function<std::string(const routing::RequestId&, const InstanceEndpoint&)>;
  using PrefillIsOut = std::function<bool(core::AttemptKey)>;

  Reservations(core::RequestDispatcher& dispatcher,
               net::ConnectionPool& pool,
               InstanceDirectory& directory,
               const core::Clock& clock,
               core::TimerQueue& timers,
               core::Counters& counters,
               Releases& releases,
               OwedReleaseCalls& owed,
               double withinMs,
               Head head,
               PrefillIsOut prefillIsOut);
  ~Reservations();
  Reservations(const Reservations&) = delete;
  Reservations& operator=(const Reservations&) = delete;

  /// Asks an instance to hold a place for the request whose prefill has just been written.
  void ask(const routing::RequestId& request,
           core::AttemptKey prefill,
           const routing::InstanceId& instance);
  void prefillEnded(core::AttemptKey prefill);
  /// Until when a release beside the request's prefill could take a reservation that it waits for.
  double coversUntilMs(const routing::RequestId& request) const;
  void within(double ms) { withinMs_ = ms; }

 private:
  class Sink;
  using Number = std::uint64_t;
  struct Reservation {
    Reservation(routing::RequestId request,
                core::AttemptKey prefill,
                routing::InstanceId instance,
                double withinMs)
        : request(std::move(request)),
          prefill(prefill),
          instance(std::move(instance)),
          lease(withinMs) {}
    routing::RequestId request;
    core::AttemptKey prefill;
    routing::InstanceId instance;
    ReservationLease lease;
    double askedMs = 0;  // the last call was written
    bool renewed = false, doubted = false;
    std::shared_ptr<Sink> sink;  // of the call that is out
    std::shared_ptr<net::Call> call;
    std::optional<core::TimerQueue::Key> next, limit;
  };

  void send(Number number);
  bool wanted(Number number) const;
  void written(Number number);
  void answered(Number number, unsigned status);
  void unanswered(Number number, bool written);
  void giveUp(Number number);
  void settle(Number number);
  void step(Number number);
  void release(Reservation& reservation);
  void close(Number number);

  core::RequestDispatcher& dispatcher_;
  net::ConnectionPool& pool_;
  InstanceDirectory& directory_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  Releases& releases_;
  OwedReleaseCalls& owed_;
  double withinMs_;
  Head head_;
  PrefillIsOut prefillIsOut_;
  std::map<Number, Reservation> reservations_;
  Number numbers_ = 0;
};

}  // namespace inference_router::upstream
