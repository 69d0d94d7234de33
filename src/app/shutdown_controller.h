/// The end of a process after SIGTERM or SIGINT: until when it accepts, what it does with its open
/// requests and connections, and when it may exit.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "app/shutdown_report.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/request_dispatcher.h"
#include "core/timer_queue.h"
#include "net/listener.h"
#include "upstream/http_instance_client.h"

namespace inference_router::app {

/// How the process ends after SIGTERM or SIGINT. Every function may be empty.
struct ShutdownOptions {
  /// New requests are served so long after the signal.
  double acceptForMs = 0;
  /// The process is killed no sooner than this after the signal; none: never.
  std::optional<double> graceMs = std::nullopt;
  /// Whether another process serves at the same address; then the listener closes at once.
  std::function<bool()> hasSuccessor = {};
  /// From this call on, each stream that is open or opens later is handed over to another process
  /// that serves, as soon as there is one.
  std::function<void()> handOver = {};
  /// Whether such a process takes over streams now.
  std::function<bool()> successorTakesStreams = {};
  /// Begins to release what this process does for others,
  std::function<void()> resign = {};
  /// and whether that is done: waited for, but not for long.
  std::function<bool()> hasResigned = {};
};

/// Belongs to the thread of the event loop. Everything that it refers to must outlive it.
class ShutdownController {
 public:
  struct Services {
    boost::asio::io_context& io;
    const core::Clock& clock;
    core::TimerQueue& timers;
    core::Counters& counters;
    core::RequestDispatcher& dispatcher;
    const upstream::HttpInstanceClient& instanceClient;
  };

  explicit ShutdownController(const Services& services) : services_(services) {}

  /// Has to be called before begin(). The listener has to exist until the event loop has ended.
  void configure(net::Listener& listener, ShutdownOptions options);

  /// A signal asks the process to end; there may be several. Stops the io_context once everything
  /// is done.
  void begin();

 private:
  void tick();
  void updateSuccessor();
  void reportLater();
  void finish();
  bool mayExit() const;
  double nowMs() const { return services_.clock.nowMs(); }

  Services services_;
  net::Listener* listener_ = nullptr;
  ShutdownOptions options_;
  std::optional<ShutdownReport> report_;
  std::optional<double> begunMs_;     // at the first signal
  std::optional<bool> streamsTaken_;  // by a successor, as the decision module was last notified
  std::optional<double> finishedMs_;  // when the last client was gone
  core::Timer tickTimer_, reportTimer_;
};

}  // namespace inference_router::app
