#include "upstream/http_instance_client.h"

#include <algorithm>
#include <utility>

#include "upstream/attempt_call.h"

namespace inference_router::upstream {

using routing::AttemptOutcome;
using routing::InstanceId;
using routing::RequestId;

namespace {

constexpr double kHealthCheckTimeoutMs = 1000;
constexpr unsigned kHealthyStatus = 200;
// State of a request, its attempts, and the buffers of its calls.
constexpr std::size_t kRequestBytes = std::size_t{24} * 1024;

}  // namespace

std::size_t ForwardedRequest::textBytes() const {
  std::size_t bytes = target.size() + contentType.size() + (body ? body->size() : 0);
  for (const auto& [name, value] : forwardedFields)
    bytes += name.size() + value.size();
  return bytes;
}

std::size_t ForwardedRequest::neededBytes() const {
  constexpr std::size_t kCopies = 2;  // here, and in a send buffer of the kernel
  return kRequestBytes + kCopies * textBytes();
}

bool ForwardedRequest::isSmall() const {
  return textBytes() <= core::MemoryBudget::kSmallRequestBytes;
}

class HttpInstanceClient::HealthCheckCall final : public TimedCallSink {
 public:
  HealthCheckCall(HttpInstanceClient& client, InstanceId instance)
      : client_(client), instance_(std::move(instance)), sentMs_(client.services_.clock.nowMs()) {}

  void head(const net::ResponseHead& head) override {
    healthy_ = head.result_int() == kHealthyStatus;
    client_.services_.directory.recordAnswer(instance_, client_.services_.clock.nowMs());
  }
  void done() override { end(healthy_); }
  void failed(net::CallFailure) override { end(false); }
  void end(bool healthy) {
    const double tookMs = client_.services_.clock.nowMs() - sentMs_;
    client_.dispatcher_.healthCheckEnded(instance_, tookMs, healthy);
  }

 private:
  void timedOut() override { end(false); }

  HttpInstanceClient& client_;
  InstanceId instance_;
  double sentMs_;
  bool healthy_ = false;
};

HttpInstanceClient::HttpInstanceClient(InstanceProtocol protocol,
                                       core::RequestDispatcher& dispatcher,
                                       const CallServices& services,
                                       double releaseLimitMs)
    : protocol_(std::move(protocol)),
      dispatcher_(dispatcher),
      services_(services),
      releaseLimitMs_(releaseLimitMs),
      releases_(
          services,
          releaseLimitMs,
          [this](const RequestId& request, const InstanceEndpoint& endpoint) {
            return reservationHead("DELETE", request, endpoint);
          },
          [this](const RequestId& request) { return releaseAllowedFromMs(request); },
          [&dispatcher](const std::string& line) { dispatcher.log(line); }),
      owed_(services,
            releaseLimitMs,
            [this](const RequestId& request, const InstanceEndpoint& endpoint) {
              return reservationHead("DELETE", request, endpoint);
            }),
      reservations_(
          services,
          dispatcher,
          releases_,
          owed_,
          releaseLimitMs,
          [this](const RequestId& request, const InstanceEndpoint& endpoint) {
            return reservationHead("POST", request, endpoint);
          },
          [this](core::AttemptKey prefill) { return findAttempt(prefill) != nullptr; }) {
  dispatcher_.connect(*this);
}

// Calls and their sinks refer to each other until the call is over.
HttpInstanceClient::~HttpInstanceClient() {
  for (const auto& [slot, attempt] : attempts_)
    attempt->call().abandon();
}

void HttpInstanceClient::reconfigure(InstanceProtocol protocol, double releaseLimitMs) {
  protocol_ = std::move(protocol);
  releaseLimitMs_ = releaseLimitMs;
  releases_.setReleaseLimit(releaseLimitMs);
  owed_.setReleaseLimit(releaseLimitMs);
  reservations_.setReleaseLimit(releaseLimitMs);
}

std::shared_ptr<HttpInstanceClient::AttemptCall> HttpInstanceClient::findAttempt(
    core::AttemptKey key) const {
  const auto found = attempts_.find(key.slot);
  return found == attempts_.end() || found->second->key() != key ? nullptr : found->second;
}

// The latest time among the request's attempts in flight; nothing if there are none.
std::optional<double> HttpInstanceClient::releaseAllowedFromMs(const RequestId& request) const {
  std::optional<double> latestMs;
  bool prefillWritten = false;
  for (const auto& [slot, attempt] : attempts_) {
    if (attempt->request() != request)
      continue;
    latestMs = std::max(latestMs.value_or(0), attempt->releaseAllowedFromMs());
    prefillWritten = prefillWritten || (attempt->isPrefill() && attempt->isWritten());
  }
  if (prefillWritten)
    latestMs = std::max(*latestMs, reservations_.coversUntilMs(request));
  return latestMs;
}

// The head has no id header, as the instance could take a call with one for an attempt.
std::string HttpInstanceClient::reservationHead(const std::string& method,
                                                const RequestId& request,
                                                const InstanceEndpoint& endpoint) const {
  return head(method, protocol_.reservationPath + request.value, endpoint,
              {{"Content-Length", "0"}});
}

std::string HttpInstanceClient::head(const std::string& method,
                                     const std::string& target,
                                     const InstanceEndpoint& endpoint,
                                     net::Fields fields) const {
  fields.insert(fields.begin(), {"Host", net::textOf(endpoint.address)});
  fields.insert(fields.end(), protocol_.extraFields.begin(), protocol_.extraFields.end());
  return net::headText(method + " " + target + " HTTP/1.1", fields);
}

// ---- Attempts

void HttpInstanceClient::start(const core::Dispatch& dispatch) {
  const InstanceEndpoint* endpoint = services_.directory.find(dispatch.instance);
  if (endpoint == nullptr)
    return dispatcher_.attemptEnded(dispatch.attempt, {.outcome = AttemptOutcome::kNotSent});
  const auto& forwarded = static_cast<const ForwardedRequest&>(*dispatch.payload);
  net::Fields fields{{protocol_.idHeader, dispatch.request.value},
                     {"Content-Length", std::to_string(forwarded.body->size())}};
  if (!forwarded.contentType.empty())
    fields.emplace_back("Content-Type", forwarded.contentType);
  fields.insert(fields.end(), forwarded.forwardedFields.begin(), forwarded.forwardedFields.end());
  releases_.attemptStarted(dispatch.request);
  const auto attempt = std::make_shared<AttemptCall>(*this, dispatch);
  attempts_[dispatch.attempt.slot] = attempt;
  attempt->setCall(services_.pool.call(
      endpoint->address, head(forwarded.method, forwarded.target, *endpoint, std::move(fields)),
      forwarded.body, attempt, net::ConnectionPool::Urgency::kNormal, dispatch.notBeforeMs));
}

void HttpInstanceClient::abandon(core::AttemptKey key) {
  const auto attempt = findAttempt(key);
  if (!attempt)
    return;
  attempts_.erase(key.slot);
  attempt->call().abandon();
  if (attempt->isPrefill())
    reservations_.prefillEnded(key);
}

void HttpInstanceClient::resume(core::AttemptKey key) {
  const auto attempt = findAttempt(key);
  if (!attempt)
    return;
  attempt->restartStallTimer();
  attempt->call().resume();
}

// An attempt whose last event has arrived is about to end, so it counts as unread, too.
bool HttpInstanceClient::hasUnreadResponse(core::AttemptKey key) const {
  const auto attempt = findAttempt(key);
  return attempt && (attempt->finished() || attempt->call().hasUnread());
}

// ---- Hand-over to another process

void HttpInstanceClient::pause(core::AttemptKey key, std::function<void()> onPaused) {
  if (const auto attempt = findAttempt(key))
    attempt->call().pause(std::move(onPaused));
}

void HttpInstanceClient::unpause(core::AttemptKey key) {
  if (const auto attempt = findAttempt(key))
    attempt->call().unpause();
}

std::optional<HttpInstanceClient::TransferState> HttpInstanceClient::transferState(
    core::AttemptKey key) {
  const auto attempt = findAttempt(key);
  if (!attempt || attempt->finished())
    return std::nullopt;
  const auto callState = attempt->call().transferState();
  if (!callState)
    return std::nullopt;
  return TransferState{.call = *callState, .event = attempt->incompleteEvent()};
}

bool HttpInstanceClient::adopt(core::AttemptKey key,
                               const RequestId& request,
                               const InstanceId& instance,
                               const net::Endpoint& address,
                               const TransferState& state) {
  const core::Dispatch dispatch{.attempt = key,
                                .request = request,
                                .instance = instance,
                                .payload = nullptr,
                                .deadlineMs = 0,
                                .isPrefill = false};
  const auto attempt = std::make_shared<AttemptCall>(*this, dispatch);
  const auto call = services_.pool.adopt(address, state.call, attempt);
  if (!call)
    return false;
  attempt->setCall(call);
  attempt->adopt(state.event);
  attempts_[key.slot] = attempt;
  attempt->restartStallTimer();
  call->unpause();
  return true;
}

// ---- Reservations, releases and health checks

// Waits for the current round of a release, which would release the new reservation as well.
void HttpInstanceClient::reserve(const RequestId& request,
                                 core::AttemptKey prefill,
                                 const InstanceId& instance) {
  releases_.runAfterRound(request, [this, prefill, instance] {
    if (const auto attempt = findAttempt(prefill))
      attempt->reserveOnceWritten(instance);
  });
}

void HttpInstanceClient::release(const RequestId& request) {
  releases_.release(request);
}

void HttpInstanceClient::checkHealth(const InstanceId& instance) {
  const InstanceEndpoint* endpoint = services_.directory.find(instance);
  const auto sink = std::make_shared<HealthCheckCall>(*this, instance);
  if (endpoint == nullptr)
    return sink->end(false);
  TimedCallSink::start(services_, endpoint->address,
                       head("GET", protocol_.healthPath, *endpoint, {}), sink,
                       net::ConnectionPool::Urgency::kNormal, kHealthCheckTimeoutMs);
}

}  // namespace inference_router::upstream
