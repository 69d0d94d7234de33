#include "upstream/owed_release_calls.h"

#include <algorithm>
#include <utility>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

namespace {

// A call waits so long for an instance that is silent, and then tries another connection: this one
// may be the only thing that is.
constexpr double kWaitMs = 500;
constexpr double kLeastPauseMs = 10;

}  // namespace

class OwedReleaseCalls::Sink final : public net::CallSink {
 public:
  Sink(OwedReleaseCalls& owner, std::uint64_t number, OwedReleases::Release release)
      : owner_(owner), number_(number), release_(std::move(release)) {}
  void head(const net::ResponseHead& head) override { accepted_ = head.result_int() == 204; }
  void done() override { owner_.ended(number_, release_, accepted_); }
  void failed(net::CallFailure) override { owner_.ended(number_, release_, false); }

 private:
  OwedReleaseCalls& owner_;
  std::uint64_t number_;
  OwedReleases::Release release_;
  bool accepted_ = false;
};

OwedReleaseCalls::OwedReleaseCalls(net::ConnectionPool& pool,
                                   InstanceDirectory& directory,
                                   const core::Clock& clock,
                                   core::TimerQueue& timers,
                                   core::Counters& counters,
                                   double withinMs,
                                   Head head)
    : pool_(pool),
      directory_(directory),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      head_(std::move(head)),
      owed_(withinMs / 2) {}

// A call and its sink hold each other while it runs.
OwedReleaseCalls::~OwedReleaseCalls() {
  timers_.cancel(next_);
  for (auto& [number, sent] : sent_) {
    timers_.cancel(sent.limit);
    if (sent.call)
      sent.call->abandon();
  }
}

void OwedReleaseCalls::owe(const InstanceId& instance, const RequestId& request) {
  const InstanceEndpoint* endpoint = directory_.find(instance);
  if (endpoint == nullptr || endpoint->state == routing::EndpointState::kRemoved)
    return;
  ++counters_["releases.owed"];
  startedMs_.try_emplace(instance, endpoint->startedMs);
  owed_.owe(instance, request, clock_.nowMs());
  step();
}

// What is gone or has started anew holds nothing of before.
void OwedReleaseCalls::forgetReplaced() {
  std::erase_if(startedMs_, [this](const auto& entry) {
    const InstanceEndpoint* endpoint = directory_.find(entry.first);
    const bool gone = endpoint == nullptr || endpoint->state == routing::EndpointState::kRemoved;
    const bool replaced = gone || endpoint->startedMs != entry.second;
    if (replaced)
      owed_.forget(entry.first);
    return replaced;
  });
}

void OwedReleaseCalls::step() {
  timers_.cancel(next_);
  forgetReplaced();
  const double now = clock_.nowMs();
  for (const auto& release : owed_.due(now))
    send(release);
  stepAt(owed_.nextMs());
}

void OwedReleaseCalls::stepAt(std::optional<double> atMs) {
  timers_.cancel(next_);
  if (!atMs)
    return;
  next_ = timers_.add(std::max(*atMs, clock_.nowMs() + kLeastPauseMs), [this] {
    next_.reset();
    step();
  });
}

void OwedReleaseCalls::send(const OwedReleases::Release& release) {
  const InstanceEndpoint& endpoint = *directory_.find(release.instance);
  const std::uint64_t number = ++calls_;
  const auto sink = std::make_shared<Sink>(*this, number, release);
  sent_[number].limit = timers_.add(clock_.nowMs() + kWaitMs, [this, number, release] {
    const auto it = sent_.find(number);
    if (it == sent_.end())
      return;
    it->second.limit.reset();
    if (it->second.call)
      it->second.call->abandon();
    ended(number, release, false);
  });
  const auto call = pool_.call(endpoint.address, head_(release.request, endpoint), nullptr, sink,
                               net::ConnectionPool::Urgency::kFirst);
  if (const auto it = sent_.find(number); it != sent_.end())
    it->second.call = call;
}

void OwedReleaseCalls::ended(std::uint64_t number,
                             const OwedReleases::Release& release,
                             bool accepted) {
  const auto it = sent_.find(number);
  if (it != sent_.end()) {
    timers_.cancel(it->second.limit);
    sent_.erase(it);
  }
  if (accepted)
    owed_.accepted(release, clock_.nowMs());
  else
    owed_.failed(release, clock_.nowMs());
  stepAt(owed_.nextMs());
}

}  // namespace inference_router::upstream
