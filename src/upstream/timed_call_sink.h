/// Calls to instances with a timeout.
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

/// The services that calls to instances use. Does not own them.
struct CallServices {
  net::ConnectionPool& pool;
  InstanceDirectory& directory;
  const core::Clock& clock;
  core::TimerQueue& timers;
  core::Counters& counters;
};

/// Base class of the sinks of such calls. A call owns its sink until it is over, and the sink owns
/// the timer.
class TimedCallSink : public net::CallSink, public std::enable_shared_from_this<TimedCallSink> {
 public:
  /// Sends a message without a body. If the call is not over after timeoutMs, it is abandoned and
  /// timedOut() of the sink is called. done() or failed() may be called before this returns.
  static std::shared_ptr<net::Call> start(const CallServices& services,
                                          const net::Endpoint& address,
                                          std::string head,
                                          const std::shared_ptr<TimedCallSink>& sink,
                                          net::ConnectionPool::Urgency urgency,
                                          double timeoutMs) {
    std::shared_ptr<net::Call> call =
        services.pool.call(address, std::move(head), /*body=*/nullptr, sink, urgency);
    if (call->state() == net::Call::State::kFinished)
      return call;
    TimedCallSink* const timedSink =
        sink.get();  // owns the timer, so it exists when the timer fires
    sink->timeoutTimer_ = services.timers.schedule(
        services.clock.nowMs() + timeoutMs, [timedSink, call] { timedSink->timeOut(*call); });
    return call;
  }

 protected:
  /// Called after the timeout has passed and the call was abandoned.
  virtual void timedOut() = 0;

 private:
  void timeOut(net::Call& call) {
    if (call.state() == net::Call::State::kFinished)
      return;
    const auto self = shared_from_this();  // abandon() releases the call's reference
    call.abandon();
    timedOut();
  }

  core::Timer timeoutTimer_;
};

}  // namespace inference_router::upstream
