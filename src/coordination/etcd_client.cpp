#include "coordination/etcd_client.h"

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>
#include <utility>

#include "coordination/store.h"
#include "core/document_reader.h"
#include "net/message.h"

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxConnections = 8;
constexpr double kIdleConnectionMs = 10'000;
// Bounds a read of all documents in base64, which is a third larger than the documents. At most two
// copies exist at a time (as text, JSON or documents): 96 MiB of the 192 MiB that a router may use.
constexpr std::size_t kMaxResponseBytes = 48 << 20;
// Of a response: a document takes eight.
constexpr core::DocumentLimits kResponseLimits{.maxBytes = kMaxResponseBytes,
                                               .maxValues = 16 * kMaxDocuments};
// Concurrent calls; further ones fail at once.
constexpr std::size_t kMaxCalls = 64;
constexpr unsigned kHttpOk = 200;

std::optional<json> responseOf(const std::string& text) {
  try {
    json value = core::parseJson(text, kResponseLimits);
    return value.is_object() ? std::optional(std::move(value)) : std::nullopt;
  } catch (const core::DocumentError&) {
    return std::nullopt;
  }
}

}  // namespace

/// One call in progress. Owned by the connection pool; the client refers to it until the call ends.
class EtcdClient::Exchange final : public net::CallSink {
 public:
  Exchange(EtcdClient& client, Callback callback)
      : client_(&client), callback_(std::move(callback)) {
    client.exchanges_.insert(this);
  }
  ~Exchange() override { detach(); }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void start(std::shared_ptr<net::Call> call) {
    if (client_ == nullptr)
      return;  // the call has failed already
    call_ = std::move(call);
    const double timeoutAtMs = client_->clock_.nowMs() + client_->callTimeoutMs_;
    timeout_ = client_->timers_.schedule(timeoutAtMs, [this] {
      const auto keepAlive = call_;
      finish(std::nullopt, "etcd.unanswered");
    });
  }

  void head(const net::ResponseHead& head) override { status_ = head.result_int(); }
  bool body(std::string_view part) override {
    text_ += part;
    return true;
  }
  void done() override {
    std::optional<json> value = responseOf(std::exchange(text_, {}));
    if (status_ == kHttpOk && value)
      return finish(std::move(value), "etcd.answered");
    finish(std::nullopt, "etcd.errors");
  }
  void failed(net::CallFailure) override { finish(std::nullopt, "etcd.failed"); }

  /// Ends the call without running its callback.
  void drop() {
    callback_ = nullptr;
    const auto call = std::exchange(call_, nullptr);
    detach();
    if (call)
      call->abandon();
  }

 private:
  void detach() {
    if (client_ == nullptr)
      return;
    timeout_.cancel();
    client_->exchanges_.erase(this);
    client_ = nullptr;
  }

  void finish(std::optional<json> value, const char* counter) {
    if (client_ == nullptr)
      return;
    ++client_->counters_[counter];
    if (!value)
      client_->useNextEndpoint();
    const auto failUnreadable =
        client_->guard_.wrap([&counters = client_->counters_, callback = callback_] {
          ++counters["etcd.malformed"];
          callback(std::nullopt);
        });
    const auto callback = std::exchange(callback_, nullptr);
    const auto call = std::exchange(call_, nullptr);
    detach();
    if (!value && call)
      call->abandon();
    try {
      callback(std::move(value));
    } catch (const json::exception& error) {
      spdlog::error("etcd sent a response of an unexpected form, which counts as none: {}",
                    error.what());
      failUnreadable();
    }
  }

  EtcdClient* client_;
  Callback callback_;
  std::shared_ptr<net::Call> call_;
  core::Timer timeout_;
  unsigned status_ = 0;
  std::string text_;
};

EtcdClient::EtcdClient(boost::asio::io_context& io,
                       const core::Clock& clock,
                       core::TimerQueue& timers,
                       core::Counters& counters,
                       std::vector<net::Endpoint> endpoints,
                       double callTimeoutMs)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      endpoints_(std::move(endpoints)),
      callTimeoutMs_(callTimeoutMs),
      pool_(io,
            clock,
            timers,
            counters,
            {kMaxConnections, callTimeoutMs, kIdleConnectionMs, kMaxResponseBytes}) {}

EtcdClient::~EtcdClient() {
  while (!exchanges_.empty())
    (*exchanges_.begin())->drop();
}

void EtcdClient::accountTo(admission::DescriptorBudget& descriptorBudget) {
  pool_.accountTo(descriptorBudget, admission::Account::kControl);
}

std::string EtcdClient::describe() const {
  std::string text;
  for (const net::Endpoint& endpoint : endpoints_)
    text += (text.empty() ? "" : " ") + net::textOf(endpoint);
  return text;
}

void EtcdClient::call(const std::string& path, const json& body, Callback callback) {
  if (exchanges_.size() >= kMaxCalls) {
    ++counters_["etcd.no_room"];
    return callback(std::nullopt);
  }
  const net::Endpoint& endpoint = endpoints_[endpointIndex_ % endpoints_.size()];
  const auto text = std::make_shared<const std::string>(body.dump());
  const std::string head = net::headText("POST " + path + " HTTP/1.1",
                                         {{"Host", net::textOf(endpoint)},
                                          {"Content-Type", "application/json"},
                                          {"Content-Length", std::to_string(text->size())}});
  const auto exchange = std::make_shared<Exchange>(*this, std::move(callback));
  exchange->start(pool_.call(endpoint, head, text, exchange));
}

}  // namespace inference_router::coordination
