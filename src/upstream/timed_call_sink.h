/// A call to an instance that is given up after a time limit.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"

namespace inference_router::upstream {

/// What calls to instances need. Does not own what it refers to.
struct CallServices {
  net::ConnectionPool& pool;
  InstanceDirectory& directory;
  const core::Clock& clock;
  core::TimerQueue& timers;
  core::Counters& counters;
};

/// Base of the sinks of such calls. The call owns its sink until it is over, and the timer goes
/// with the sink.
class TimedCallSink : public net::CallSink, public std::enable_shared_from_this<TimedCallSink> {
 public:
  /// Sends a message without a body. If the call is not over after limitMs, it is abandoned and the
  /// sink gets timedOut(). The sink may get done() or failed() before this returns.
  static std::shared_ptr<net::Call> start(const CallServices& services,
                                          const net::Endpoint& address,
                                          std::string head,
                                          const std::shared_ptr<TimedCallSink>& sink,
                                          net::ConnectionPool::Urgency urgency,
                                          double limitMs) {
    std::shared_ptr<net::Call> call =
        services.pool.call(address, std::move(head), /*body=*/nullptr, sink, urgency);
    if (call->state() == net::Call::State::kFinished)
      return call;
    TimedCallSink* const timed = sink.get();  // owns the timer, so that it cannot fire later
    sink->limit_ = services.timers.schedule(services.clock.nowMs() + limitMs,
                                            [timed, call] { timed->giveUp(*call); });
    return call;
  }

 protected:
  /// The time limit has passed and the call is abandoned.
  virtual void timedOut() = 0;

 private:
  void giveUp(net::Call& call) {
    if (call.state() == net::Call::State::kFinished)
      return;
    const auto self = shared_from_this();  // abandon() releases the call's reference
    call.abandon();
    timedOut();
  }

  core::Timer limit_;
};

}  // namespace inference_router::upstream
