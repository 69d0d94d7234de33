/// Drives a timer queue from an io_context with one system timer, set to the earliest task.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/timer_queue.h"

namespace inference_router::net {

/// Runs until it is destroyed. The io_context, the clock and the timers outlive it.
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
