/// What the process holds for clients and instances, in the log and the counters: by use, while
/// memory is short.
#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/request_dispatcher.h"
#include "core/timer_queue.h"
#include "net/listener.h"
#include "net/pool.h"

namespace inference_router::app {

/// Logs a line a second at most. All that it refers to must outlive it.
class MemoryMonitor {
 public:
  MemoryMonitor(core::RequestDispatcher& dispatcher,
                const net::ConnectionPool& pool,
                const core::Clock& clock,
                core::TimerQueue& timers,
                core::Counters& counters)
      : dispatcher_(dispatcher), pool_(pool), clock_(clock), timers_(timers), counters_(counters) {}

  /// Begins to watch. The listener has to exist for as long as timers run.
  void start(const net::Listener& listener);
  /// Sets the counters memory.peak_kb.USE and memory.peak_kb.total.
  void updateCounters();

 private:
  void tick();
  std::uint64_t refused();
  std::string heldText() const;

  core::RequestDispatcher& dispatcher_;
  const net::ConnectionPool& pool_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  const net::Listener* listener_ = nullptr;
  std::uint64_t loggedRefused_ = 0;
  bool short_ = false;
  core::Timer timer_;
};

}  // namespace inference_router::app
