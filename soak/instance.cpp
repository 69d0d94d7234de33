#include "instance.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace inference_router::soak {

namespace {

constexpr std::size_t kConnections = 4'000;
constexpr double kSilentShare = 0.3;  // of the connections of an instance that loses messages
constexpr double kUnknownMs = 300;    // until a reservation is answered whose prefill is not known
constexpr double kRefusedShare = 0.05;  // of reservations
constexpr double kLongShare = 0.3;      // of prefills
const std::string kReservationPath = "/bootstrap/rooms/";

constexpr double kSlowReaderGapMs = 200;  // before the next event while the router does not read

std::string eventOf(const AnswerShape& answers) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word" +
         std::string(answers.eventBytes, 'x') + "\"},\"finish_reason\":null}]}\n\n";
}

const std::string kLastEvents =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":4,"
    "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
    "data: [DONE]\n\n";

}  // namespace

// Its parties are passed one by one, as in the other constructors that take them.
// NOLINTNEXTLINE(readability-function-size)
Instance::Instance(Environment& environment,
                   HeldStateMonitor& held,
                   ReservationRule rule,
                   int number,
                   std::string kind,
                   net::Endpoint address,
                   AnswerShape answers,
                   DrainNotifiedMs drainNotifiedMs)
    : environment_(environment),
      heldState_(held),
      rule_(rule),
      number_(number),
      kind_(std::move(kind)),
      answers_(answers),
      drainNotifiedMs_(std::move(drainNotifiedMs)),
      address_(std::move(address)) {
  listen();
}

void Instance::listen() {
  listeners_.push_back(std::make_unique<net::Listener>(environment_.io, address_, kConnections,
                                                       *this, environment_.clock,
                                                       environment_.timers, environment_.counters));
}

void Instance::goDown() {
  if (std::exchange(down_, true))
    return;
  listeners_.back()->drain(0, [] {});
  unread_.clear();
  heldState_.instanceEnded(number_);
  for (const auto& [key, weak] : std::exchange(connections_, {})) {
    const auto connection = weak.lock();
    if (!connection)
      continue;
    end(connection.get());
    const auto state = connection->state();
    if (state == net::ClientConnection::State::kAnswering ||
        state == net::ClientConnection::State::kStreaming)
      connection->abortResponse();
  }
}

void Instance::goUp() {
  if (fell_ || !std::exchange(down_, false))
    return;
  rejectsNewWork_ = false;
  behaviour_ = Behaviour::kServes;
  listen();
}

// How long an attempt that arrives now waits for those before it.
double Instance::untilTurnMs() {
  const double turnMs = std::max(now(), nextTurnMs_);
  nextTurnMs_ = turnMs + turnMs_;
  return turnMs - now();
}

// An instance that fell stays down.
bool Instance::falls(const std::string& request) {
  if (!judge_ || !judge_(number_, request))
    return false;
  fell_ = true;
  goDown();
  return true;
}

void Instance::behave(Behaviour behaviour, double forMs) {
  behaviour_ = behaviour;
  environment_.after(forMs, [this, behaviour] {
    if (behaviour == Behaviour::kHoldsArrivals)
      for (Call& call : unread_)
        call.arrivedMs = now();
    behaviour_ = Behaviour::kServes;
    readLate();
  });
}

void Instance::readLate() {
  for (const Call& call : std::exchange(unread_, {}))
    if (!down_)
      read(call);
}

void Instance::request(const std::shared_ptr<net::ClientConnection>& connection,
                       net::HttpRequest&& request,
                       double arrivedMs) {
  if (down_)
    return connection->abortResponse();
  connections_[connection.get()] = connection;
  Call call{connection, std::move(request), arrivedMs};
  if (behaviour_ == Behaviour::kHoldsArrivals)
    return unread_.push_back(std::move(call));
  if (behaviour_ != Behaviour::kReadsNothing)
    return read(call);
  if (kind_ == "reader" && std::string(call.request.target()).rfind(kReservationPath, 0) != 0)
    heldState_.prefillArrived(std::string(call.request["X-Call-Id"]), number_, now());
  unread_.push_back(std::move(call));
}

Instance::Silence Instance::silenceOf(const net::ClientConnection* connection) {
  const bool loses =
      behaviour_ == Behaviour::kLosesAnswers || behaviour_ == Behaviour::kLosesRequests;
  const auto it = silence_.find(connection);
  if (!loses)
    return it == silence_.end() ? Silence::kNone : it->second;
  if (it != silence_.end())
    return it->second;
  const Silence silence = environment_.drawn(0, 1) >= kSilentShare ? Silence::kNone
                          : behaviour_ == Behaviour::kLosesAnswers ? Silence::kAnswers
                                                                   : Silence::kBoth;
  return silence_[connection] = silence;
}

void Instance::answer(const Connection& connection,
                      unsigned status,
                      const net::Fields& fields,
                      const std::string& body) {
  if (silenceOf(connection.get()) != Silence::kNone)
    return;
  if (connection->state() == net::ClientConnection::State::kAnswering)
    connection->answer(status, fields, body);
}

void Instance::read(const Call& call) {
  const bool ignored = silenceOf(call.connection.get()) == Silence::kBoth;
  const std::string target(call.request.target());
  if (target.rfind(kReservationPath, 0) != 0)
    return attempt(call, ignored);
  if (ignored || behaviour_ == Behaviour::kHangs)
    return;
  const std::string request = target.substr(kReservationPath.size());
  if (call.request.method_string() == "DELETE")
    return release(call.connection, request);
  if (environment_.requestLog.knows(request))
    noteSend(request, Send::kReservation, call);
  reserve(call.connection, request);
}

void Instance::noteSend(const std::string& request, Send send, const Call& call) {
  ClientView& view = environment_.requestLog.entry(request);
  view.arrivals.push_back({.atMs = call.arrivedMs,
                           .instance = number_,
                           .budgetMs = std::atof(std::string(call.request["X-Budget-Ms"]).c_str()),
                           .rejected = rejects(),
                           .send = send,
                           .drainNotifiedMs = drainNotifiedMs_(view.router, number_)});
}

void Instance::release(const Connection& connection, const std::string& request) {
  heldState_.release(request, number_, now());
  answer(connection, 204, {}, "");
}

// One reservation for each request: a further one replaces it. What is not known is held all the
// same.
void Instance::reserve(const Connection& connection, const std::string& request) {
  if (kind_ == "reader")
    return answer(connection, 404, {}, "");
  heldState_.reservationArrived(request, number_, now());
  heldState_.drop(request, HeldStateMonitor::Kind::kReservation);
  if (rejectsNewWork_)
    return answer(connection, 409, {}, "");
  const bool known = rule_ == ReservationRule::kByArrival ? heldState_.prefillHasArrived(request)
                                                          : heldState_.attemptIsOut(request);
  if (known && environment_.drawn(0, 1) < kRefusedShare)
    return answer(connection, 409, {}, "");
  heldState_.hold(request, HeldStateMonitor::Kind::kReservation, number_, now());
  if (known)
    return answer(connection, 200, {}, "");
  environment_.after(kUnknownMs, [this, connection] { answer(connection, 204, {}, ""); });
}

void Instance::attempt(const Call& call, bool ignored) {
  const std::string id(call.request["X-Call-Id"]);
  if (isPressureId(id))
    environment_.requestLog.addPressure(id, routerOfPressureId(id), now());
  if (!environment_.requestLog.knows(id))
    environment_.requestLog.addViolation("unknown",
                                         "an attempt with an id that no client sent: " + id);
  const bool prefills = kind_ == "reader";
  noteSend(id, prefills ? Send::kPrefill : Send::kDecode, call);
  if (falls(id))
    return;
  if (prefills)
    heldState_.prefillArrived(id, number_, now());
  if (ignored || call.connection->state() != net::ClientConnection::State::kAnswering)
    return;
  heldState_.attemptBegan(id, number_, now());
  running_[call.connection.get()] = {id, prefills};
  if (behaviour_ == Behaviour::kHangs)
    return;
  if (rejects() || behaviour_ == Behaviour::kResets) {
    end(call.connection.get());
    if (behaviour_ == Behaviour::kResets)
      return call.connection->abortResponse();
    return answer(call.connection, 503, {{"X-Rejected", "1"}}, "");
  }
  if (prefills)
    return prefill(call.connection, id);
  heldState_.take(id, number_, now());
  decode(call.connection, id);
}

void Instance::prefill(const Connection& connection, const std::string& request) {
  const bool isLong = environment_.drawn(0, 1) < kLongShare;
  const double tookMs = untilTurnMs() + environment_.drawn(5, isLong ? 1'200 : 150);
  environment_.after(tookMs, [this, connection, request] {
    const auto it = running_.find(connection.get());
    if (it == running_.end() || it->second.request != request)
      return;
    end(connection.get());
    heldState_.hold(request, HeldStateMonitor::Kind::kState, number_, now());
    answer(connection, 202, {{"Content-Type", "application/json"}}, "{\"cached_tokens\":0}");
  });
}

void Instance::decode(const Connection& connection, const std::string& request) {
  environment_.after(untilTurnMs() + environment_.drawn(5, 150), [this, connection, request] {
    const auto it = running_.find(connection.get());
    if (it == running_.end() || it->second.request != request)
      return;
    if (silenceOf(connection.get()) != Silence::kNone)
      return;
    heldState_.take(request, number_, now());  // the first event releases the rest
    connection->beginStream({{"Content-Type", "text/event-stream"}});
    stream(connection, answers_.events);
  });
}

void Instance::stream(const Connection& connection, int left) {
  if (connection->state() != net::ClientConnection::State::kStreaming)
    return;
  if (silenceOf(connection.get()) != Silence::kNone)
    return;
  const bool acceptsMore = connection->writeChunk(left > 0 ? eventOf(answers_) : kLastEvents);
  if (left == 0) {
    end(connection.get());
    return connection->endStream();
  }
  const double gapMs = acceptsMore ? environment_.drawn(5, answers_.maxGapMs) : kSlowReaderGapMs;
  environment_.after(gapMs, [this, connection, left] { stream(connection, left - 1); });
}

void Instance::end(const net::ClientConnection* connection) {
  const auto it = running_.find(connection);
  if (it == running_.end())
    return;
  heldState_.attemptEnded(it->second.request, number_, now());
  running_.erase(it);
}

void Instance::disconnected(net::ClientConnection& connection) {
  end(&connection);
  silence_.erase(&connection);
  connections_.erase(&connection);
}

void Instance::reject(net::ClientConnection& connection, unsigned status, std::string_view why) {
  environment_.requestLog.addViolation("malformed",
                                       "an instance got what is no request: " + std::string(why));
  connection.answer(status, {}, "");
}

}  // namespace inference_router::soak
