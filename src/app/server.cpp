#include "app/server.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <utility>

namespace inference_router::app {

namespace {

// An idle connection is retired at this share of the time after which the instance closes it, so
// that no request is ever written to one that is being closed.
constexpr double kIdleShare = 0.6;
// Log, loop, timer, signals, listeners, the spare one, and what is shared with another process.
constexpr std::size_t kOwnDescriptors = 14;
// Of an instance's answer, far above the longest stream.
constexpr std::uint64_t kMaxAnswerBytes = 16 << 20;

void changeReloadSignalMask(int how) {
  sigset_t reloads;
  sigemptyset(&reloads);
  sigaddset(&reloads, SIGHUP);
  pthread_sigmask(how, &reloads, nullptr);
}

void logCounters(const core::Counters& counters) {
  for (const auto& [name, value] : counters.all())
    spdlog::info("counter {} {}", name, value);
}

}  // namespace

void blockReloadSignal() {
  changeReloadSignalMask(SIG_BLOCK);
}

Server::Server(boost::asio::io_context& context,
               const core::Clock& time,
               const routing::wire::Setup& setup,
               ServerOptions options)
    : io(context),
      clock(time),
      descriptorBudget(admission::DescriptorBudget::sharesOf(options.descriptors)),
      loop(io, clock, timers),
      dispatcher(setup.settings, options.seed, clock, timers, counters),
      membership(options.seed),
      pool(io,
           clock,
           timers,
           counters,
           {options.instanceConnections, core::toMs(setup.settings.limits.connectTimeout),
            options.idleCloseMs * kIdleShare, kMaxAnswerBytes, options.instanceReceiveBytes}),
      instanceClient(std::move(options.protocol),
                     dispatcher,
                     {pool, directory, clock, timers, counters},
                     core::toMs(setup.settings.contract.releaseLimit)),
      reloads(clock, timers, counters),
      memoryMonitor(dispatcher, pool, clock, timers, counters),
      shutdown_({io, clock, timers, counters, dispatcher, instanceClient}),
      signals_(io, SIGTERM, SIGINT, SIGUSR1) {
  for (std::size_t i = 0; i < kOwnDescriptors; ++i)
    descriptorBudget.force(admission::Account::kOwn);
  if (options.requestMemoryBytes)
    dispatcher.memory().setLimit(*options.requestMemoryBytes);
  pool.accountTo(descriptorBudget, admission::Account::kInstances);
  signals_.add(SIGHUP);
  dispatcher.onLog([](const std::string& text) { spdlog::info("module: {}", text); });
}

void Server::reconfigure(const routing::Settings& settings, upstream::InstanceProtocol protocol) {
  dispatcher.reconfigure(settings);
  pool.setConnectTimeout(core::toMs(settings.limits.connectTimeout));
  instanceClient.reconfigure(std::move(protocol), core::toMs(settings.contract.releaseLimit));
}

void Server::run(net::Listener& listener, ShutdownOptions shutdown, ReloadSteps reloadSteps) {
  shutdown_.configure(listener, std::move(shutdown));
  reloads.setSteps(std::move(reloadSteps));
  memoryMonitor.start(listener);
  waitForSignal();
  changeReloadSignalMask(SIG_UNBLOCK);
  io.run();
  memoryMonitor.updateCounters();
  logCounters(counters);
}

void Server::waitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error)
      return;
    onSignal(signal);
    waitForSignal();
  });
}

void Server::onSignal(int signal) {
  switch (signal) {
    case SIGUSR1:
      memoryMonitor.updateCounters();
      return logCounters(counters);
    case SIGHUP:
      return reloads.request();  // also while the process drains: open requests need the list
    default:
      return shutdown_.begin();
  }
}

}  // namespace inference_router::app
