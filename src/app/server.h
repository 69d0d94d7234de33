/// The part of a router that every front needs: loop, dispatcher, connections to instances, and an
/// orderly end after a signal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "app/config.h"
#include "app/memory_monitor.h"
#include "app/reload_retry.h"
#include "app/shutdown_controller.h"
#include "core/request_dispatcher.h"
#include "fleet/membership.h"
#include "frontend/openai/openai_front.h"
#include "frontend/platform/discovery.h"
#include "frontend/platform/platform_front.h"
#include "net/listener.h"
#include "net/loop.h"
#include "upstream/http_instance_client.h"

namespace inference_router::app {

struct ServerOptions {
  std::uint64_t seed = 0;
  std::size_t instanceConnections = 0;  ///< at most, to all instances together
  double idleCloseMs = 30'000;          ///< after which instances close an idle connection
  upstream::InstanceProtocol protocol;
  std::size_t descriptors = 1024;  ///< that the process may hold
  /// For what clients and instances make the process hold; none: without a limit.
  std::optional<std::size_t> requestMemoryBytes = std::nullopt;
  /// Of each connection to an instance; none: the kernel's own choice.
  std::optional<std::size_t> instanceReceiveBytes = std::nullopt;
};

/// Belongs to the thread that calls run(). The context and the clock must outlive it.
class Server final : public core::EndpointListSink {
 public:
  Server(boost::asio::io_context& context,
         const core::Clock& time,
         const routing::wire::Setup& setup,
         ServerOptions options);

  /// Runs until SIGTERM or SIGINT has been followed by the end of all requests that were accepted.
  /// Counters go to the log on SIGUSR1 and at the end. SIGHUP reloads, and a reload that fails is
  /// logged and tried again.
  void run(net::Listener& listener, ShutdownOptions shutdown, ReloadSteps reloadSteps);

  /// Passes a list through the membership to the decision module.
  void list(routing::EndpointListUpdate update) override {
    dispatcher.list(membership.applyUpdate(update, clock.nowMs()));
  }

  /// Applies settings that may change while the server runs.
  void reconfigure(const routing::Settings& settings, upstream::InstanceProtocol protocol);

  boost::asio::io_context& io;
  const core::Clock& clock;
  core::TimerQueue timers;
  core::Counters counters;
  admission::DescriptorBudget descriptorBudget;
  net::Loop loop;
  core::RequestDispatcher dispatcher;
  fleet::Membership membership;
  net::ConnectionPool pool;
  upstream::InstanceDirectory directory;
  upstream::HttpInstanceClient instanceClient;
  ReloadRetry reloads;
  MemoryMonitor memoryMonitor;

 private:
  void waitForSignal();
  void onSignal(int signal);

  ShutdownController shutdown_;
  boost::asio::signal_set signals_;
};

/// Keeps SIGHUP pending until run() handles it: its default action would end the program. To be
/// called first of all.
void blockReloadSignal();

}  // namespace inference_router::app
