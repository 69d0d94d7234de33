#include "net/loop.h"

#include <algorithm>
#include <chrono>

namespace inference_router::net {

Loop::Loop(boost::asio::io_context& io, const core::Clock& clock, core::TimerQueue& timers)
    : clock_(clock), timers_(timers), timer_(io) {
  timers_.onEarlier([this] { arm(); });
  arm();
}

void Loop::arm() {
  const auto next = timers_.next();
  if (!next)
    return;
  const std::chrono::duration<double, std::milli> wait(std::max(0.0, *next - clock_.nowMs()));
  // Setting the expiry cancels the previous wait, whose handler then gets an error and does
  // nothing.
  timer_.expires_after(std::chrono::ceil<std::chrono::steady_clock::duration>(wait));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    timers_.runDue(clock_.nowMs());
    arm();
  });
}

}  // namespace inference_router::net
