#include "client.h"

#include "net/message.h"

#include <utility>

namespace inference_router::soak {

namespace {

constexpr double kClientDialMs = 1'000, kClientIdleMs = 3'000;
constexpr double kLeastBudget = 0.5;   // of the longest deadline
constexpr double kPatienceMs = 5'000;  // that a client waits past its deadline
constexpr double kLeaverShare = 0.08, kChangeShare = 0.4;

}  // namespace

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
    view().answeredMs = client_.environment_.clock.nowMs();
    view().complete = tail_.find("data: [DONE]") != std::string::npos;
    client_.over(id_, /*resend=*/false);
  }
  // A connection that rests may end as the next request crosses its end: that one is sent once
  // more. What a router had as it was killed is not: a further try has an id of its own.
  void failed(net::CallFailure) override {
    if (view().status != 0)
      view().answeredMs = client_.environment_.clock.nowMs();
    const bool crossed = view().status == 0 && !client_.resent_ && !view().undecided &&
                         !(client_.call_ && client_.call_->isFirstOnConnection());
    if (!written_ && !crossed)
      view().undecided = true;  // nobody has taken it
    client_.over(id_, crossed);
  }

 private:
  ClientView& view() { return client_.environment_.requestLog.entry(id_); }
  Client& client_;
  std::string id_, tail_;
  bool written_ = false;
};

Client::Client(Environment& environment,
               int router,
               int number,
               net::Endpoint to,
               double maxDeadlineMs,
               bool reconnects)
    : environment_(environment),
      conductor_(router),
      number_(number),
      to_(std::move(to)),
      pool_(environment.io,
            environment.clock,
            environment.timers,
            environment.counters,
            {2, kClientDialMs, kClientIdleMs}),
      maxDeadlineMs_(maxDeadlineMs),
      reconnects_(reconnects) {}

void Client::start() {
  environment_.after(environment_.drawn(0, 300), [this] { send(); });
}

void Client::send() {
  if (stopped_)
    return;
  if (paused_ || (onlyOpen_ && !pool_.hasIdle(to_)))
    return start();
  const std::string id =
      std::to_string(conductor_) + "-" + std::to_string(number_) + "-" + std::to_string(++sent_);
  ClientView& view = environment_.requestLog.entry(id);
  view.atMostOnce = environment_.drawn(0, 1) < kChangeShare;
  view.router = conductor_;
  view.budgetMs = environment_.drawn(kLeastBudget, 1) * maxDeadlineMs_;
  view.sentMs = environment_.clock.nowMs();
  resent_ = false;
  open(id);
  if (environment_.drawn(0, 1) >= kLeaverShare)
    return;
  environment_.after(environment_.drawn(2, 400), [this, id] {
    if (!call_ || id_ != id)
      return;
    environment_.requestLog.entry(id).closedMs = environment_.clock.nowMs();
    call_->abandon();
    over(id, false);
  });
}

void Client::open(const std::string& id) {
  id_ = id;
  const std::string body = R"({"model":"m","stream":true,"messages":[]})";
  const std::string head = net::headText(
      "POST /v1/chat/completions HTTP/1.1",
      {{"Host", "soak"},
       {"X-Call-Id", id},
       {"X-Call-Class", environment_.requestLog.entry(id).atMostOnce ? "change" : "ask"},
       {"X-Caller", "club"},
       {"X-Route-Hash", std::to_string(number_)},
       {"X-Budget-Ms", std::to_string(static_cast<long>(leftMs(id)))},
       {"X-Call-Info", "prompt_len=100,max_out=50"},
       {"Content-Length", std::to_string(body.size())}});
  call_ = pool_.call(to_, head, std::make_shared<const std::string>(body),
                     std::make_shared<Exchange>(*this, id));
  environment_.after(environment_.requestLog.entry(id).budgetMs + kPatienceMs, [this, id] {
    if (!call_ || id_ != id)
      return;
    call_->abandon();
    over(id, false);
  });
}

void Client::over(const std::string& id, bool resend) {
  if (id_ != id)
    return;
  call_ = nullptr;
  if (resend && paused_)  // the front layer sends nothing there
    environment_.requestLog.entry(id).undecided = true;
  if (resend && !paused_ && leftMs(id) > 0) {
    resent_ = true;
    pool_.dropIdle(to_);
    return open(id);
  }
  id_.clear();
  if (reconnects_)
    pool_.dropIdle(to_);
  start();
}

double Client::leftMs(const std::string& id) const {
  const ClientView& view = environment_.requestLog.entry(id);
  return view.sentMs + view.budgetMs - environment_.clock.nowMs();
}

std::optional<std::string> Client::streamSentAfter(double sentMs) const {
  if (id_.empty())
    return std::nullopt;
  const ClientView& view = environment_.requestLog.entry(id_);
  const bool begun = view.status != 0 && !view.answeredMs;
  return begun && view.sentMs > sentMs ? std::optional(id_) : std::nullopt;
}

void Client::markUndecided(double sentByMs) {
  if (!id_.empty() && environment_.requestLog.entry(id_).sentMs <= sentByMs)
    environment_.requestLog.entry(id_).undecided = true;
}

}  // namespace inference_router::soak
