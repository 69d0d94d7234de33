#include "app/shutdown_controller.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace inference_router::app {

namespace {

// After the last answer: it and the closes of cancelled attempts are on their way, and who reads
// them should find this process there. SIGKILL follows the last answers by 0.2 s.
constexpr double kLingerMs = 100;
// For a store to confirm that leases are released; without that they expire.
constexpr double kMaxResignMs = 2'000;
// Where the process is killed at the end of a grace period, what was handed over may come back up
// to this share of it.
constexpr double kMaxResignShareOfGrace = 0.96;
constexpr double kFinishCheckMs = 5;
// Between two looks at whether a successor takes streams, and at requests that are still arriving.
constexpr double kTickMs = 10;
// From this share of the grace period on, about when requests without a stream get their final
// answer, no further input is awaited: a request must not become complete as the process is killed.
constexpr double kInputShareOfGrace = 0.93;
constexpr double kReportIntervalMs = 1'000;

}  // namespace

void ShutdownController::configure(net::Listener& listener, ShutdownOptions options) {
  listener_ = &listener;
  options_ = std::move(options);
}

void ShutdownController::begin() {
  const bool replaced = options_.hasSuccessor && options_.hasSuccessor();
  spdlog::info("stopping: {}, then finishing what was taken",
               replaced ? "another process serves what arrives" : "serving what still arrives");
  if (!begunMs_) {
    begunMs_ = nowMs();
    report_.emplace(services_.dispatcher, *listener_, services_.counters);
    report_->log("at the signal");
    reportLater();
  }
  if (options_.resign)
    options_.resign();
  if (options_.handOver)
    options_.handOver();
  if (options_.graceMs)
    tick();
  listener_->drain(replaced ? 0 : options_.acceptForMs, [this] { finish(); });
}

void ShutdownController::tick() {
  updateSuccessor();
  if (nowMs() >= *begunMs_ + *options_.graceMs * kInputShareOfGrace)
    listener_->refuseIncompleteInput("this process ends");
  tickTimer_ = services_.timers.schedule(nowMs() + kTickMs, [this] { tick(); });
}

// The decision module decides about each request until the grace period ends, beside a successor as
// well: what has no stream cannot be handed over.
void ShutdownController::updateSuccessor() {
  const bool taken = options_.successorTakesStreams && options_.successorTakesStreams();
  if (streamsTaken_ != taken)
    services_.dispatcher.beginShutdown(*options_.graceMs, taken);
  streamsTaken_ = taken;
}

void ShutdownController::reportLater() {
  reportTimer_ = services_.timers.schedule(nowMs() + kReportIntervalMs, [this] {
    report_->log("still ending");
    reportLater();
  });
}

// All clients have their answers; what instances hold for them is released before the process ends.
void ShutdownController::finish() {
  if (!finishedMs_)
    finishedMs_ = nowMs();
  if (mayExit()) {
    report_->log("done");
    return services_.io.stop();
  }
  services_.timers.runAt(nowMs() + kFinishCheckMs, [this] { finish(); });
}

bool ShutdownController::mayExit() const {
  const double now = nowMs();
  const double maxResignMs =
      options_.graceMs ? *options_.graceMs * kMaxResignShareOfGrace : kMaxResignMs;
  const bool resigning =
      options_.hasResigned && !options_.hasResigned() && now < *begunMs_ + maxResignMs;
  const bool hasClients = listener_->size() > 0;  // handed back by a successor that has ended
  const bool lingering = now < *finishedMs_ + kLingerMs;
  return services_.instanceClient.releasing() == 0 && !resigning && !hasClients && !lingering;
}

}  // namespace inference_router::app
