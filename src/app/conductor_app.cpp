#include "app/conductor_app.h"

#include <spdlog/spdlog.h>

#include <csignal>

#include "app/otlp.h"

namespace dahliastall::app {

namespace {

// An idle connection is retired at this share of the time after which the box closes it, so that no request
// is ever written to one that is being closed.
constexpr double kIdleShare = 0.6;
// For a release: its limit on sockets is the settings' and 300 ms more; this much of that is not used.
constexpr double kReleaseExtraMs = 200;

void printCounters(const core::Counters& counters) {
  for (const auto& [name, value] : counters.all()) spdlog::info("counter {} {}", name, value);
}

}  // namespace

Engine::Engine(boost::asio::io_context& context, const core::Clock& time,
               const leverrelay::wire::Setup& setup, std::uint64_t seed, std::size_t boxConnections,
               double idleCloseMs, fronts::BoxDialect dialect)
    : io(context),
      clock(time),
      loop(io, clock, deadlines),
      conductor(setup.settings, seed, clock, deadlines, counters),
      pool(io, clock, deadlines, counters,
           {boxConnections, core::toMs(setup.settings.limits.dialTimeout), idleCloseMs * kIdleShare}),
      boxes(std::move(dialect), conductor, pool, directory, clock, deadlines, counters,
            core::toMs(setup.settings.contract.releaseWithin) + kReleaseExtraMs),
      signals_(io, SIGTERM, SIGINT, SIGUSR1) {
  conductor.onLog([](const std::string& text) { spdlog::info("module: {}", text); });
}

void Engine::run(net::Listener& listener) {
  listener_ = &listener;
  onSignal();
  io.run();
  printCounters(counters);
}

void Engine::onSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      printCounters(counters);
    } else {
      spdlog::info("stopping: serving what still arrives, then what was taken");
      listener_->drain([this] { finish(); });
    }
    onSignal();
  });
}

// The clients have their answers; what is held for them is let go before the program ends.
void Engine::finish() {
  if (boxes.releasing() > 0) {
    deadlines.add(clock.nowMs() + 5, [this] { finish(); });
    return;
  }
  io.stop();
}

namespace {

std::unique_ptr<OtlpExporter> exporterFor(Engine& engine, const Telemetry& telemetry) {
  if (!telemetry.collector) return nullptr;
  return std::make_unique<OtlpExporter>(engine.io, engine.clock, engine.deadlines, engine.counters,
                                        *telemetry.collector, telemetry.intervalMs);
}

void sayListening(const std::string& name, const net::Listener& listener) {
  spdlog::info("{} listens on {}:{}", name, listener.address().address().to_string(),
               listener.address().port());
}

}  // namespace

void serve(const Config& config, const Telemetry& telemetry) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  Engine engine(io, clock, config.setup, config.seed, config.limits.boxes(), config.idleCloseMs,
                fronts::platformDialect());
  fronts::PlatformFront front(engine.conductor, config.setup.names, engine.clock, engine.counters);
  fronts::Discovery discovery(engine.io, engine.clock, engine.deadlines, engine.counters, engine.conductor,
                              engine.directory, engine.pool, config.setup.names);
  if (!config.known.is_null()) discovery.known(config.known);
  discovery.watch(config.discovery);
  const auto exporter = exporterFor(engine, telemetry);
  net::Listener listener(engine.io, config.listen, config.limits.clients(), front, engine.clock,
                         engine.deadlines, engine.counters);
  sayListening(config.name, listener);
  engine.run(listener);
}

void serve(const fronts::OperatorFile& site, const Telemetry& telemetry) {
  boost::asio::io_context io;
  const core::SystemClock clock;
  const Limits limits{site.sockets};
  Engine engine(io, clock, site.setup, site.seed, limits.boxes(), site.idleCloseMs,
                fronts::openaiDialect(site));
  engine.directory = site.directory;
  engine.conductor.list(site.boxes);
  fronts::OpenAiFront front(engine.conductor, site, engine.clock, engine.counters, fronts::randomIds());
  const auto exporter = exporterFor(engine, telemetry);
  net::Listener listener(engine.io, site.listen, limits.clients(), front, engine.clock, engine.deadlines,
                         engine.counters);
  sayListening("chat API", listener);
  engine.run(listener);
}

}  // namespace dahliastall::app
