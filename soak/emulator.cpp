#include "emulator.h"

#include <cstdlib>

#include "net/message.h"

namespace dahliastall::soak {

namespace {

constexpr std::size_t kConnections = 4'000;
constexpr double kHeartbeatMs = 2'000;
constexpr double kClientDialMs = 1'000, kClientIdleMs = 3'000;
constexpr double kBudgetMs = 3'000, kClientPatienceMs = 5'000;
constexpr double kLeaverShare = 0.08, kChangeShare = 0.4;
constexpr int kEvents = 4;

const std::string kEvent =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n";
const std::string kLastEvents =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":4,"
    "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
    "data: [DONE]\n\n";

}  // namespace

// ---- Instances ---------------------------------------------------------------------------------------

Instance::Instance(Stage& stage, int number, std::string kind, const net::Endpoint& address,
                   DrainTold drainTold)
    : stage_(stage),
      number_(number),
      kind_(std::move(kind)),
      drainTold_(std::move(drainTold)),
      listener_(stage.io, address, kConnections, *this, stage.clock, stage.deadlines, stage.counters) {}

void Instance::behave(Behaviour behaviour, double forMs) {
  behaviour_ = behaviour;
  stage_.after(forMs, [this] { behaviour_ = Behaviour::kServes; });
}

void Instance::request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&& request,
                       double arrivedMs) {
  const std::string target(request.target());
  if (target.rfind("/bootstrap/", 0) != 0) return attempt(connection, request, arrivedMs);
  if (behaviour_ == Behaviour::kHangs) return;
  connection->answer(request.method_string() == "DELETE" ? 204 : 200, {}, "");
}

void Instance::attempt(const std::shared_ptr<net::ClientConnection>& connection,
                       const net::HttpRequest& request, double arrivedMs) {
  const std::string id(request["X-Call-Id"]);
  if (!stage_.ledger.knows(id))
    stage_.ledger.breaks("unknown", "an attempt with an id that no client sent: " + id);
  ClientView& view = stage_.ledger.of(id);
  view.arrivals.push_back({.atMs = arrivedMs,
                           .instance = number_,
                           .budgetMs = std::atof(std::string(request["X-Budget-Ms"]).c_str()),
                           .rejected = behaviour_ == Behaviour::kRejects,
                           .reads = kind_ == "reader",
                           .drainToldMs = drainTold_(view.conductor, number_)});
  if (behaviour_ == Behaviour::kRejects) return connection->answer(503, {{"X-Rejected", "1"}}, "");
  if (behaviour_ == Behaviour::kResets) return connection->breakOff();
  if (behaviour_ == Behaviour::kHangs) return;
  serve(connection);
}

void Instance::serve(const std::shared_ptr<net::ClientConnection>& connection) {
  stage_.after(stage_.drawn(5, 150), [this, connection] {
    if (connection->state() != net::ClientConnection::State::kAnswering) return;
    if (kind_ == "reader")
      return connection->answer(202, {{"Content-Type", "application/json"}}, "{\"cached_tokens\":0}");
    connection->beginStream({{"Content-Type", "text/event-stream"}});
    stream(connection, kEvents);
  });
}

void Instance::stream(const std::shared_ptr<net::ClientConnection>& connection, int left) {
  if (connection->state() != net::ClientConnection::State::kStreaming) return;
  connection->pass(left > 0 ? kEvent : kLastEvents);
  if (left == 0) return connection->endStream();
  stage_.after(stage_.drawn(5, 40), [this, connection, left] { stream(connection, left - 1); });
}

void Instance::reject(net::ClientConnection& connection, unsigned status, std::string_view why) {
  stage_.ledger.breaks("malformed", "an instance got what is no request: " + std::string(why));
  connection.answer(status, {}, "");
}

// ---- Discovery ---------------------------------------------------------------------------------------

Agent::Agent(Stage& stage, const net::Endpoint& address)
    : stage_(stage),
      listener_(stage.io, address, kConnections, *this, stage.clock, stage.deadlines, stage.counters) {
  beat();
}

void Agent::beat() {
  for (const auto& watch : watches_) watch->pass("\n");
  stage_.after(kHeartbeatMs, [this] { beat(); });
}

void Agent::request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&&, double) {
  if (down_) {
    waiting_.insert(connection);
    return;
  }
  connection->beginStream({});
  connection->pass(whole_);
  watches_.insert(connection);
}

void Agent::gone(net::ClientConnection& connection) {
  const auto is = [&](const auto& watch) { return watch.get() == &connection; };
  std::erase_if(watches_, is);
  std::erase_if(waiting_, is);
}

void Agent::reject(net::ClientConnection& connection, unsigned status, std::string_view) {
  connection.answer(status, {}, "");
}

void Agent::list(std::string whole, const std::string& changes) {
  whole_ = std::move(whole);
  if (changes.empty()) return;
  for (const auto& watch : watches_) watch->pass(changes);
}

void Agent::down(double forMs) {
  down_ = true;
  for (const auto& watch : std::exchange(watches_, {})) watch->breakOff();
  stage_.after(forMs, [this] {
    down_ = false;
    for (const auto& connection : std::exchange(waiting_, {})) {
      connection->beginStream({});
      connection->pass(whole_);
      watches_.insert(connection);
    }
  });
}

// ---- Clients -----------------------------------------------------------------------------------------

class Client::Exchange final : public net::CallSink {
 public:
  Exchange(Client& client, std::string id) : client_(client), id_(std::move(id)) {}
  void head(const net::ResponseHead& head) override { view().status = head.result_int(); }
  bool body(std::string_view part) override {
    tail_ += part;
    return true;
  }
  void written() override { written_ = true; }
  void done() override {
    view().answeredMs = client_.stage_.clock.nowMs();
    view().whole = tail_.find("data: [DONE]") != std::string::npos;
    client_.over(id_, /*resend=*/false);
  }
  // A connection that rests may end as the next request crosses its end: that one is sent once more.
  void failed(net::CallFailure) override {
    if (view().status != 0) view().answeredMs = client_.stage_.clock.nowMs();
    const bool crossed = view().status == 0 && !client_.resent_ && !(client_.call_ && client_.call_->first());
    if (!written_ && !crossed) view().undecided = true;  // nobody has taken it
    client_.over(id_, crossed);
  }

 private:
  ClientView& view() { return client_.stage_.ledger.of(id_); }
  Client& client_;
  std::string id_, tail_;
  bool written_ = false;
};

Client::Client(Stage& stage, int conductor, int number, const net::Endpoint& to)
    : stage_(stage),
      conductor_(conductor),
      number_(number),
      to_(to),
      pool_(stage.io, stage.clock, stage.deadlines, stage.counters, {2, kClientDialMs, kClientIdleMs}) {}

void Client::start() {
  stage_.after(stage_.drawn(0, 300), [this] { send(); });
}

void Client::send() {
  if (stopped_) return;
  if (paused_) return start();
  const std::string id =
      std::to_string(conductor_) + "-" + std::to_string(number_) + "-" + std::to_string(++sent_);
  ClientView& view = stage_.ledger.of(id);
  view.atMostOnce = stage_.drawn(0, 1) < kChangeShare;
  view.conductor = conductor_;
  view.budgetMs = kBudgetMs;
  view.sentMs = stage_.clock.nowMs();
  resent_ = false;
  open(id);
  if (stage_.drawn(0, 1) >= kLeaverShare) return;
  stage_.after(stage_.drawn(2, 400), [this, id] {
    if (!call_ || id_ != id) return;
    stage_.ledger.of(id).goneMs = stage_.clock.nowMs();
    call_->abandon();
    over(id, false);
  });
}

void Client::open(const std::string& id) {
  id_ = id;
  const std::string body = R"({"model":"m","stream":true,"messages":[]})";
  const std::string head =
      net::headText("POST /v1/chat/completions HTTP/1.1",
                    {{"Host", "soak"},
                     {"X-Call-Id", id},
                     {"X-Call-Class", stage_.ledger.of(id).atMostOnce ? "change" : "ask"},
                     {"X-Caller", "club"},
                     {"X-Route-Hash", std::to_string(number_)},
                     {"X-Budget-Ms", std::to_string(static_cast<long>(kBudgetMs))},
                     {"X-Call-Info", "prompt_len=100,max_out=50"},
                     {"Content-Length", std::to_string(body.size())}});
  call_ =
      pool_.call(to_, head, std::make_shared<const std::string>(body), std::make_shared<Exchange>(*this, id));
  stage_.after(kClientPatienceMs, [this, id] {
    if (!call_ || id_ != id) return;
    call_->abandon();
    over(id, false);
  });
}

void Client::over(const std::string& id, bool resend) {
  if (id_ != id) return;
  call_ = nullptr;
  if (resend) {
    resent_ = true;
    pool_.dropIdle(to_);
    return open(id);
  }
  id_.clear();
  start();
}

void Client::doubt() {
  if (!id_.empty()) stage_.ledger.of(id_).undecided = true;
}

}  // namespace dahliastall::soak
