#include "frontend/platform/discovery_watch.h"

#include <array>
#include <utility>

#include "fleet/discovery_backoff.h"

namespace inference_router::frontend {

namespace {

constexpr unsigned kOk = 200;

WatchEnd endOf(net::CallFailure failure) {
  switch (failure) {
    case net::CallFailure::kNoConnection:
      return WatchEnd::kNoConnection;
    case net::CallFailure::kReset:
      return WatchEnd::kReset;
    case net::CallFailure::kInvalidResponse:
      return WatchEnd::kInvalidResponse;
    case net::CallFailure::kWithdrawn:
      break;
  }
  return WatchEnd::kWithdrawn;
}

}  // namespace

const char* nameOf(WatchEnd end) {
  constexpr std::array kNames{"no_connection", "reset",     "invalid_response", "error_status",
                              "silent",        "malformed", "finished",         "withdrawn"};
  static_assert(kNames.size() == static_cast<std::size_t>(WatchEnd::kCount));
  return kNames.at(static_cast<std::size_t>(end));
}

void DiscoveryWatch::start(std::shared_ptr<net::Call> call) {
  call_ = std::move(call);
  armSilenceTimer(fleet::DiscoveryBackoff::kAnswerTimeoutMs);
}

void DiscoveryWatch::close() {
  silenceTimer_.cancel();
  call_->abandon();
}

void DiscoveryWatch::head(const net::ResponseHead& head) {
  accepted_ = head.result_int() == kOk;
}

bool DiscoveryWatch::body(std::string_view bytes) {
  if (!accepted_) {
    fail(WatchEnd::kErrorStatus);
    return true;
  }
  if (!limited_)
    armSilenceTimer(fleet::DiscoveryBackoff::kWatchTimeoutMs);
  text_ += bytes;
  while (const std::size_t end = splitter_.nextEnd(text_)) {
    const std::string document = text_.substr(0, end);
    text_.erase(0, end);
    if (!accept(document)) {
      fail(WatchEnd::kMalformed);
      return true;
    }
  }
  if (text_.size() > kMaxDocumentBytes)
    fail(WatchEnd::kMalformed);
  return true;
}

// Keep-alives do not extend the time that a watch has for its first list: nothing else would end a
// watch that never sends one.
bool DiscoveryWatch::accept(std::string_view document) {
  const DocumentKind kind = owner_.onDocument(document);
  if (kind == DocumentKind::kMalformed)
    return false;
  if (kind == DocumentKind::kList && std::exchange(needsList_, false))
    armSilenceTimer(fleet::DiscoveryBackoff::kWatchTimeoutMs);
  limited_ = needsList_;
  if (!needsList_)
    owner_.onAlive(*this);
  return true;
}

void DiscoveryWatch::armSilenceTimer(double ms) {
  silenceTimer_ = timers_.schedule(clock_.nowMs() + ms, [this] { timedOut(); });
}

void DiscoveryWatch::timedOut() {
  if (!owner_.onSilent(*this))
    fail(WatchEnd::kSilent);
}

void DiscoveryWatch::failed(net::CallFailure failure) {
  end(endOf(failure));
}

void DiscoveryWatch::fail(WatchEnd end) {
  call_->abandon();
  this->end(end);
}

void DiscoveryWatch::end(WatchEnd end) {
  silenceTimer_.cancel();
  owner_.onEnded(*this, end);
}

}  // namespace inference_router::frontend
