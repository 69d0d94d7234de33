#include "app/reload_retry.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

namespace inference_router::app {

namespace {

// A file that names a new address of discovery is used well within the grace period of a drain.
constexpr double kFirstRetryMs = 100, kMaxRetryMs = 400;
// What discovery tells at a new address counts as known 4 s after SIGHUP.
constexpr double kWatchFileMs = 4'000, kWatchFileIntervalMs = 200;
constexpr double kLogIntervalMs = 10'000;  // of a pending reload whose reason stays the same

double retryDelayMs(int attempts) {
  return std::min(kMaxRetryMs, kFirstRetryMs * std::exp2(attempts - 1));
}

}  // namespace

std::string describe(const std::optional<PendingReload>& pending, double nowMs) {
  if (!pending)
    return "the configuration file is in use as it was read last";
  return fmt::format(
      "the configuration file cannot be used since {:.0f} ms, {} attempts, the next in {:.0f} ms: "
      "{}",
      nowMs - pending->sinceMs, pending->attempts, pending->nextMs - nowMs, pending->reason);
}

void ReloadRetry::request() {
  pending_.reset();
  watchFileUntilMs_ = clock_.nowMs() + kWatchFileMs;
  attempt();
}

void ReloadRetry::attempt() {
  try {
    steps_.reload();
  } catch (const std::exception& fault) {
    return failed(fault.what());
  }
  succeeded();
}

void ReloadRetry::succeeded() {
  ++counters_["reloads.done"];
  if (pending_)
    spdlog::info("the configuration is in use after {} failed attempts and {:.0f} ms",
                 pending_->attempts, clock_.nowMs() - pending_->sinceMs);
  pending_.reset();
  watchFile();
}

void ReloadRetry::failed(const std::string& reason) {
  const double nowMs = clock_.nowMs();
  const bool isFirst = !pending_;
  ++counters_[isFirst ? "reloads.failed" : "reloads.retry_failed"];
  if (isFirst)
    pending_.emplace().sinceMs = nowMs;
  const bool isNew = isFirst || reason != pending_->reason;
  const double delayMs = retryDelayMs(++pending_->attempts);
  pending_->reason = reason;
  pending_->nextMs = nowMs + delayMs;
  if (isNew || nowMs >= loggedMs_ + kLogIntervalMs) {
    loggedMs_ = nowMs;
    spdlog::error(
        "the configuration cannot be used, the old one stays: {} (attempt {}, {:.0f} ms "
        "after the first; the next in {:.0f} ms)",
        reason, pending_->attempts, nowMs - pending_->sinceMs, delayMs);
  }
  timer_ = timers_.schedule(pending_->nextMs, [this] { attempt(); });
}

void ReloadRetry::refresh() {
  if (pending_ || !steps_.refresh)
    return;
  try {
    if (!steps_.refresh())
      return;
  } catch (const std::exception& fault) {
    return failed(fault.what());
  }
  ++counters_["reloads.refreshed"];
  spdlog::info("the configuration file has changed, and is in use now");
}

void ReloadRetry::watchFile() {
  const double nextMs = clock_.nowMs() + kWatchFileIntervalMs;
  if (nextMs > watchFileUntilMs_)
    return;
  timer_ = timers_.schedule(nextMs, [this] {
    refresh();
    if (!pending_)
      watchFile();
  });
}

}  // namespace inference_router::app
