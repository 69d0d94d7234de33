// The program's one thread: an io_context whose single timer rings for the earliest of all
// deadlines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/timer_queue.h"

namespace inference_router::net {

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
