// One real router on the platform, put together from its parts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>

#include "app/config.h"
#include "core/request_dispatcher.h"
#include "fleet/membership.h"
#include "frontend/openai/openai_front.h"
#include "frontend/platform/discovery.h"
#include "frontend/platform/platform_front.h"
#include "net/listener.h"
#include "net/loop.h"
#include "upstream/http_instance_client.h"

namespace inference_router::app {

/// How the process ends after SIGTERM or SIGINT.
struct ShutdownOptions {
  double doorOpenMs;              // new requests are served so long after the signal
  std::optional<double> graceMs;  // the process is killed no sooner than this after it; none: never
  std::function<bool()> successor;     // whether another process serves at the same address; then
                                       // the door closes at once
  std::function<void()> handOver;      // and what is open goes to it
  std::function<void()> leave = {};    // what this process does for others is to be let go of,
  std::function<bool()> hasLeft = {};  // and whether it is: waited for, but not for long
};

// The part that every front needs: loop, core, pool and instances.
class Server final : public core::EndpointListSink {
 public:
  Server(boost::asio::io_context& context,
         const core::Clock& time,
         const routing::wire::Setup& setup,
         std::uint64_t seed,
         std::size_t instanceConnections,
         double idleCloseMs,
         upstream::InstanceProtocol dialect,
         std::size_t descriptors = 1024);

  // Runs until SIGTERM or SIGINT has been followed by the end of all that was taken. Counters go to
  // the log on SIGUSR1 and at the end. SIGHUP calls reload, whose exceptions are logged and change
  // nothing else.
  void run(net::Listener& listener, const ShutdownOptions& shutdown, std::function<void()> reload);

  // What a list says goes through the membership to the module.
  void list(routing::EndpointListUpdate news) override {
    dispatcher.list(membership.applyUpdate(news, clock.nowMs()));
  }

  // What a reload brings, as far as it can change under way.
  void reconfigure(const routing::Settings& settings, upstream::InstanceProtocol dialect);

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

 private:
  void onSignal();
  void stop();
  bool succeeded() const { return shutdown_.successor && shutdown_.successor(); }
  void reload();
  void finish();

  boost::asio::signal_set signals_;
  net::Listener* listener_ = nullptr;
  ShutdownOptions shutdown_{};
  std::optional<double> stoppedMs_, finishedMs_;
  std::function<void()> reload_;
};

struct Telemetry {
  std::optional<net::Endpoint> collector;  // none: nothing is exported
  double intervalMs = 10'000;
  bool trace = false;  // log events and actions of the module
};

// Keeps SIGHUP waiting until run() handles it: its default action would end the program. Called
// first of all.
void holdReloads();

// Reads the configuration again, whole, or throws. Nothing is changed before it has returned.
template <class What>
using Reread = std::function<What()>;

// How a planned restart goes on the platform, by the settings.
ShutdownOptions platformShutdown(const routing::Settings& settings);

// On the platform: its protocol, its discovery. SIGHUP takes over the file's `discovery`.
void serve(const Config& config, const Telemetry& telemetry, const Reread<Config>& reread);

// At a small site: the chat API, the instances of the operator's file, which SIGHUP takes over
// whole but for what needs a new start.
void takeOver(frontend::OperatorFile fresh,
              frontend::OperatorFile& site,
              Server& server);  // throws ConfigError
void serve(const frontend::OperatorFile& first,
           const Telemetry& telemetry,
           const Reread<frontend::OperatorFile>& reread);

}  // namespace inference_router::app
