#include "upstream/owed_release_calls.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

namespace {

// For one call. After that another connection is tried, as only this connection may be silent
// rather than its instance.
constexpr double kAnswerTimeoutMs = 500;
constexpr double kMinIntervalMs = 10;
constexpr unsigned kAcceptedStatus = 204;

bool isRemoved(const InstanceEndpoint* endpoint) {
  return endpoint == nullptr || endpoint->state == routing::EndpointState::kRemoved;
}

}  // namespace

class OwedReleaseCalls::Sink final : public TimedCallSink {
 public:
  Sink(OwedReleaseCalls& owner, CallNumber number, OwedReleases::Release release)
      : owner_(owner), number_(number), release_(std::move(release)) {}

  void head(const net::ResponseHead& head) override {
    accepted_ = head.result_int() == kAcceptedStatus;
  }
  void done() override { owner_.ended(number_, release_, accepted_); }
  void failed(net::CallFailure) override { owner_.ended(number_, release_, false); }

 private:
  void timedOut() override { owner_.ended(number_, release_, false); }

  OwedReleaseCalls& owner_;
  CallNumber number_;
  OwedReleases::Release release_;
  bool accepted_ = false;
};

OwedReleaseCalls::OwedReleaseCalls(const CallServices& services, double releaseLimitMs, Head head)
    : services_(services), head_(std::move(head)), owed_(releaseLimitMs / 2) {}

// Calls and their sinks refer to each other until the call is over.
OwedReleaseCalls::~OwedReleaseCalls() {
  for (const auto& [number, call] : calls_)
    call->abandon();
}

void OwedReleaseCalls::owe(const InstanceId& instance, const RequestId& request) {
  const InstanceEndpoint* endpoint = services_.directory.find(instance);
  if (isRemoved(endpoint))
    return;
  ++services_.counters["releases.owed"];
  startedMs_.try_emplace(instance, endpoint->startedMs);
  owed_.owe(instance, request, services_.clock.nowMs());
  sendDue();
}

// An instance that was removed or has restarted no longer holds anything from before.
void OwedReleaseCalls::forgetReplaced() {
  std::erase_if(startedMs_, [this](const auto& entry) {
    const auto& [instance, startedMs] = entry;
    const InstanceEndpoint* endpoint = services_.directory.find(instance);
    const bool replaced = isRemoved(endpoint) || endpoint->startedMs != startedMs;
    if (replaced)
      owed_.forget(instance);
    return replaced;
  });
}

void OwedReleaseCalls::sendDue() {
  nextTimer_.cancel();
  forgetReplaced();
  for (const auto& release : owed_.due(services_.clock.nowMs()))
    send(release);
  scheduleNext();
}

void OwedReleaseCalls::scheduleNext() {
  nextTimer_.cancel();
  const std::optional<double> dueMs = owed_.nextMs();
  if (!dueMs)
    return;
  const double atMs = std::max(*dueMs, services_.clock.nowMs() + kMinIntervalMs);
  nextTimer_ = services_.timers.schedule(atMs, [this] { sendDue(); });
}

void OwedReleaseCalls::send(const OwedReleases::Release& release) {
  const InstanceEndpoint& endpoint = *services_.directory.find(release.instance);
  const CallNumber number = ++lastNumber_;
  const auto sink = std::make_shared<Sink>(*this, number, release);
  const auto call =
      TimedCallSink::start(services_, endpoint.address, head_(release.request, endpoint), sink,
                           net::ConnectionPool::Urgency::kUrgent, kAnswerTimeoutMs);
  if (call->state() != net::Call::State::kFinished)
    calls_[number] = call;
}

void OwedReleaseCalls::ended(CallNumber number,
                             const OwedReleases::Release& release,
                             bool accepted) {
  calls_.erase(number);
  if (accepted)
    owed_.accepted(release, services_.clock.nowMs());
  else
    owed_.failed(release, services_.clock.nowMs());
  scheduleNext();
}

}  // namespace inference_router::upstream
