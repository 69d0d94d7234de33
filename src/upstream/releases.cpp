#include "upstream/releases.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace inference_router::upstream {

using routing::InstanceId;
using routing::RequestId;

namespace {

constexpr double kCallMs = 400;  // for one call: a connection that comes up late, and the answer
constexpr double kProtocolSlackMs = 350;  // that the protocol adds to the settings' time limit
constexpr double kPauseMs = 20;           // after nobody could be asked
// Calls of all releases together: where nobody hears, many releases with many calls each would fill
// the line for connections. Beyond it each release still asks one at a time.
constexpr std::size_t kMostOut = 128;

}  // namespace

class Releases::Carrier final : public net::CallSink {
 public:
  Carrier(Releases& owner, RequestId request, InstanceId instance, std::uint64_t number)
      : owner_(owner),
        request_(std::move(request)),
        instance_(std::move(instance)),
        number_(number) {}

  void head(const net::ResponseHead& head) override {
    if (InstanceEndpoint* endpoint = owner_.directory_.find(instance_))
      endpoint->heardMs = owner_.clock_.nowMs();
    through_ = head.result_int() == 204;  // any other is none to a release
  }
  void done() override { owner_.answered(request_, number_, instance_, through_); }
  void failed(net::CallFailure why) override {
    if (why != net::CallFailure::kWithdrawn)
      unheard();
    owner_.answered(request_, number_, instance_, false);
  }
  void unheard() {
    if (InstanceEndpoint* endpoint = owner_.directory_.find(instance_))
      endpoint->failedMs = owner_.clock_.nowMs();
  }

 private:
  Releases& owner_;
  RequestId request_;
  InstanceId instance_;
  std::uint64_t number_;
  bool through_ = false;
};

Releases::Releases(net::ConnectionPool& pool,
                   InstanceDirectory& directory,
                   const core::Clock& clock,
                   core::TimerQueue& timers,
                   core::Counters& counters,
                   double withinMs,
                   Head head,
                   HeldBackMs heldBackMs,
                   Report report)
    : pool_(pool),
      directory_(directory),
      clock_(clock),
      timers_(timers),
      counters_(counters),
      withinMs_(withinMs),
      head_(std::move(head)),
      heldBackMs_(std::move(heldBackMs)),
      report_(std::move(report)) {}

// A call and its sink hold each other while it runs.
Releases::~Releases() {
  for (auto& [request, state] : releases_) {
    timers_.cancel(state.next);
    for (const auto& [number, call] : state.calls)
      call->abandon();
  }
}

void Releases::release(const RequestId& request) {
  auto [it, fresh] = releases_.try_emplace(request, clock_.nowMs(), withinMs_);
  if (!fresh) {
    it->second.attempted = false;
    // Between two rounds nothing is under way, so that the next one can begin at once.
    if (it->second.course.settling())
      it->second.course.restart(clock_.nowMs());
    else
      it->second.again = true;
  }
  step(request);
}

void Releases::releaseBeside(const RequestId& request) {
  const auto [it, fresh] = releases_.try_emplace(request, clock_.nowMs(), withinMs_);
  if (fresh)
    it->second.course.wait(clock_.nowMs());
  else
    it->second.course.closed(clock_.nowMs());
  it->second.attempted = it->second.attempted || fresh;
  step(request);
}

void Releases::attemptGoesOut(const RequestId& request) {
  const auto it = releases_.find(request);
  if (it == releases_.end())
    return;
  it->second.attempted = true;
  it->second.again = false;
}

void Releases::afterwards(const RequestId& request, std::function<void()> what) {
  const auto it = releases_.find(request);
  if (it != releases_.end() && !it->second.course.settling())
    it->second.after.push_back(std::move(what));
  else
    what();
}

void Releases::placeSettled(const RequestId& request) {
  const auto it = placesOut_.find(request);
  if (it == placesOut_.end())
    return;
  if (--it->second > 0)
    return;
  placesOut_.erase(it);
  const auto releasing = releases_.find(request);
  if (releasing == releases_.end())
    return;
  releasing->second.course.closed(clock_.nowMs());
  step(request);
}

// First one with a connection at hand, of those one that did not take the last round, as what was
// taken for its answer may have been a late one to an earlier call; then the one heard last. One
// that lately failed comes after those that did not.
const InstanceId* Releases::best(const Releasing& state) const {
  const InstanceId* best = nullptr;
  std::tuple<bool, bool, bool, double> most;
  for (const auto& [instance, endpoint] : directory_.all()) {
    if (state.tried.count(instance) != 0 || endpoint.state == routing::EndpointState::kRemoved)
      continue;
    const std::tuple<bool, bool, bool, double> worth{endpoint.heardMs >= endpoint.failedMs,
                                                     pool_.hasIdle(endpoint.address),
                                                     instance != state.heard, endpoint.heardMs};
    if (best != nullptr && worth <= most)
      continue;
    best = &instance;
    most = worth;
  }
  return best;
}

// When the next round may begin; never if it would take what the request goes on with.
std::optional<double> Releases::roundMs(const RequestId& request, const Releasing& state) const {
  const double due = state.course.nextMs();
  const auto heldBack = heldBackMs_(request);
  if (!heldBack)
    return state.attempted ? std::nullopt : std::optional(due);
  return std::max(due, *heldBack);
}

// The one place in which a release moves on: asks more, begins its next round, or ends.
void Releases::step(const RequestId& request) {
  const auto it = releases_.find(request);
  if (it == releases_.end())
    return;
  Releasing& state = it->second;
  const double now = clock_.nowMs();
  timers_.cancel(state.next);
  double nextMs = now;
  if (state.course.settling()) {
    const auto at = roundMs(request, state);
    if (!at)
      return finish(request);
    if (now >= *at) {
      state.course.go(now);
      state.askedMs = now;
    } else if (std::isfinite(*at))
      nextMs = *at;
  }
  if (state.course.over(now)) {
    if (!state.course.done())
      ++counters_["releases.given_up"];
    return finish(request);
  }
  std::size_t due = state.course.due(now, state.calls.size());
  if (out_ >= kMostOut)
    due = std::min<std::size_t>(due, state.calls.empty() ? 1 : 0);
  bool nobody = false;
  for (; due > 0 && !nobody; --due) {
    const InstanceId* const next = best(state);
    nobody = next == nullptr;
    if (!nobody)
      ask(request, state, InstanceId(*next));
  }
  if (directory_.all().empty())
    return finish(request);  // no instances, so nothing is held anywhere
  if (nobody && state.calls.empty())
    state.tried.clear();  // once round; one may be back after a breath
  nextMs = std::max({nextMs, state.course.nextMs(), now + kPauseMs});
  state.next = timers_.add(nextMs, [this, request] {
    const auto due = releases_.find(request);
    if (due == releases_.end())
      return;
    due->second.next.reset();
    step(request);
  });
}

void Releases::ask(const RequestId& request, Releasing& state, const InstanceId& instance) {
  const std::uint64_t number = ++calls_;
  const InstanceEndpoint& endpoint = *directory_.find(instance);
  state.tried.insert(instance);
  ++counters_["releases.tried"];
  ++out_;
  const auto sink = std::make_shared<Carrier>(*this, request, instance, number);
  const auto call = pool_.call(endpoint.address, head_(request, endpoint), nullptr, sink,
                               net::ConnectionPool::Urgency::kFirst);
  state.calls[number] = call;
  timers_.add(clock_.nowMs() + kCallMs, [this, request, number, instance, call, sink] {
    if (call->state() == net::Call::State::kOver)
      return;
    call->abandon();
    sink->unheard();
    answered(request, number, instance, false);
  });
}

void Releases::answered(const RequestId& request,
                        std::uint64_t number,
                        const InstanceId& by,
                        bool through) {
  --out_;
  const auto it = releases_.find(request);
  if (it == releases_.end())
    return;
  Releasing& state = it->second;
  state.calls.erase(number);
  if (!through || number < state.first) {
    // The last one asked has failed: no use waiting for the next wave.
    if (state.calls.empty() && !state.course.settling())
      state.course.failed(clock_.nowMs());
    return step(request);
  }
  checkTime(request, state);
  leaveUnwritten(state);
  state.tried.clear();
  state.heard = by;
  state.first = calls_ + 1;
  if (std::exchange(state.again, false))
    state.course.restart(clock_.nowMs());
  else
    state.course.taken(clock_.nowMs(), placesOut_.count(request) != 0);
  for (const auto& go : std::exchange(state.after, {}))
    go();
  step(request);
}

// The rule on what is held, as far as this process can see it: until an instance accepted a release
// that was due.
void Releases::checkTime(const RequestId& request, Releasing& state) {
  if (std::exchange(state.accepted, true))
    return;
  const double tookMs = clock_.nowMs() - state.askedMs;
  if (tookMs <= withinMs_ / 2)
    return;
  const bool violated = tookMs > withinMs_ + kProtocolSlackMs;
  ++counters_[violated ? "invariants.violated.held" : "releases.late"];
  report_((violated ? "invariant violated: held by request " : "release accepted late: request ") +
          request.value + ", after " + std::to_string(std::lround(tookMs)) + " ms");
}

// Nobody else needs to be reached. What is written already stays: its answer gives the connection
// back.
void Releases::leaveUnwritten(Releasing& state) {
  std::erase_if(state.calls, [this](const auto& entry) {
    const auto at = entry.second->state();
    if (at != net::Call::State::kWaiting && at != net::Call::State::kConnecting)
      return false;
    entry.second->abandon();
    --out_;
    return true;
  });
}

void Releases::finish(const RequestId& request) {
  const auto it = releases_.find(request);
  if (it == releases_.end())
    return;
  Releasing state = std::move(it->second);
  releases_.erase(it);
  timers_.cancel(state.next);
  leaveUnwritten(state);
  for (const auto& go : state.after)
    go();
}

}  // namespace inference_router::upstream
