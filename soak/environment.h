/// What all parties of the emulator share: its loop, clock, ledger and source of chance.
#pragma once

#include <boost/asio/io_context.hpp>
#include <random>
#include <utility>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "request_log.h"

namespace inference_router::soak {

/// The emulator's own loop, clock and source of chance.
struct Environment {
  boost::asio::io_context& io;
  const core::Clock& clock;
  core::TimerQueue& timers;
  core::Counters& counters;
  RequestLog& requestLog;
  std::mt19937_64 random;

  double drawn(double min, double max) {
    return std::uniform_real_distribution<>(min, max)(random);
  }
  void after(double ms, core::TimerQueue::Task task) {
    timers.runAt(clock.nowMs() + ms, std::move(task));
  }
};

}  // namespace inference_router::soak
