/// Drives a timer queue from an io_context: one system timer, set to the earliest of all tasks.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/timer_queue.h"

namespace inference_router::net {

/// Works as long as it lives; the io_context, the clock and the timers outlive it.
class Loop {
 public:
  Loop(boost::asio::io_context& io, const core::Clock& clock, core::TimerQueue& timers);

 private:
  void arm();

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  boost::asio::steady_timer timer_;
};

}  // namespace inference_router::net
