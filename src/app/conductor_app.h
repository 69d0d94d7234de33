// One real conductor on the platform, put together from its parts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <optional>

#include "app/config.h"
#include "core/conductor.h"
#include "fronts/boxes/boxes.h"
#include "fronts/openai/openai_front.h"
#include "fronts/platform/discovery.h"
#include "fronts/platform/platform_front.h"
#include "net/listener.h"
#include "net/loop.h"

namespace dahliastall::app {

// The part that every front needs: loop, core, pool and boxes.
class Engine {
 public:
  Engine(boost::asio::io_context& context, const core::Clock& time, const leverrelay::wire::Setup& setup,
         std::uint64_t seed, std::size_t boxConnections, double idleCloseMs, fronts::BoxDialect dialect);

  // Runs until a signal has been followed by the end of all that was taken. Counters go to the log on SIGUSR1
  // and at the end.
  void run(net::Listener& listener);

  boost::asio::io_context& io;
  const core::Clock& clock;
  core::Deadlines deadlines;
  core::Counters counters;
  net::Loop loop;
  core::Conductor conductor;
  net::Pool pool;
  fronts::Directory directory;
  fronts::Boxes boxes;

 private:
  void onSignal();
  void finish();

  boost::asio::signal_set signals_;
  net::Listener* listener_ = nullptr;
};

struct Telemetry {
  std::optional<net::Endpoint> collector;  // none: nothing is exported
  double intervalMs = 10'000;
};

// On the platform: its protocol, its discovery.
void serve(const Config& config, const Telemetry& telemetry);

// At a small site: the chat API, the boxes of the operator's file.
void serve(const fronts::OperatorFile& site, const Telemetry& telemetry);

}  // namespace dahliastall::app
