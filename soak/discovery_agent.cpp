#include "discovery_agent.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace inference_router::soak {

namespace {

constexpr std::size_t kConnections = 4'000;
constexpr double kHeartbeatMs = 2'000;
constexpr unsigned kUnavailable = 503;

// The revision after which a call asks for changes; 0 if it names none.
std::uint64_t revisionAfter(const std::string& target) {
  constexpr std::string_view kKey = "after=";
  const std::size_t at = target.find(kKey);
  if (at == std::string::npos)
    return 0;
  std::uint64_t revision = 0;
  std::from_chars(target.data() + at + kKey.size(), target.data() + target.size(), revision);
  return revision;
}

}  // namespace

Agent::Agent(Environment& environment, DiscoveryCapacity& capacity, net::Endpoint address)
    : environment_(environment), capacity_(capacity), address_(std::move(address)) {
  listen();
  beat();
}

void Agent::listen() {
  listeners_.push_back(std::make_unique<net::Listener>(
      environment_.io, address_, kConnections, *this, environment_.clock, environment_.timers,
      environment_.counters, net::Listener::Options{}));
}

void Agent::stopListening() {
  listeners_.back()->drain(0, [] {});
}

void Agent::beat() {
  for (const auto& watch : watches_)
    watch->writeChunk("\n");
  environment_.after(kHeartbeatMs, [this] { beat(); });
}

// ---- Calls

void Agent::request(const Connection& connection, net::HttpRequest&& request, double) {
  ++use_.calls;
  std::size_t connections = 0;
  for (const auto& listener : listeners_)
    connections += listener->size();
  use_.maxConnections = std::max(use_.maxConnections, connections);
  const std::uint64_t after = revisionAfter(std::string(request.target()));
  switch (fault_) {
    case DiscoveryFault::kSilent:
    case DiscoveryFault::kForgotten:
      waiting_.emplace(connection, after);
      return;
    case DiscoveryFault::kErrors:
      return connection->answer(kUnavailable, {}, "");
    case DiscoveryFault::kClosed:
      return connection->abortResponse();
    case DiscoveryFault::kPartialList:
      return sendPartialList(connection);
    default:
      return serve(connection, after);
  }
}

void Agent::serve(const Connection& connection, std::uint64_t after) {
  const double nowMs = environment_.clock.nowMs();
  const auto answerMs = capacity_.admit(nowMs);
  if (!answerMs)
    return connection->answer(kUnavailable, {}, "");
  if (*answerMs <= nowMs)
    return openWatch(connection, after);
  environment_.after(*answerMs - nowMs, [this, connection, after] {
    if (connection->state() == net::ClientConnection::State::kAnswering)
      openWatch(connection, after);
  });
}

void Agent::openWatch(const Connection& connection, std::uint64_t after) {
  connection->beginStream({});
  watches_.insert(connection);
  if (fault_ != DiscoveryFault::kEmptyLineFirst)
    return sendList(connection, after);
  connection->writeChunk("\n");
  listless_.insert(connection);
}

// A caller that has this revision already gets changes alone, of which there are none yet.
void Agent::sendList(const Connection& connection, std::uint64_t after) {
  const std::string& text = after >= list_.revision ? "\n" : list_.complete;
  connection->writeChunk(text);
  use_.listBytes += text.size();
  if (!returnedMs_)
    return;
  const double delayMs = environment_.clock.nowMs() - *std::exchange(returnedMs_, std::nullopt);
  use_.maxReturnDelayMs = std::max(use_.maxReturnDelayMs.value_or(0), delayMs);
}

void Agent::sendPartialList(const Connection& connection) {
  connection->beginStream({});
  connection->writeChunk(list_.complete.substr(0, list_.complete.size() / 2));
}

void Agent::disconnected(net::ClientConnection& connection) {
  const auto is = [&](const auto& watch) { return watch.get() == &connection; };
  std::erase_if(watches_, is);
  std::erase_if(waiting_, [&](const auto& call) { return is(call.first); });
  std::erase_if(listless_, is);
}

void Agent::reject(net::ClientConnection& connection, unsigned status, std::string_view) {
  connection.answer(status, {}, "");
}

void Agent::list(ListText text) {
  list_ = std::move(text);
  if (list_.changes.empty() || down())
    return;
  for (const auto& watch : watches_)
    watch->writeChunk(list_.changes);
  use_.listBytes += list_.changes.size() * watches_.size();
}

// ---- Outages

void Agent::goDown(const DiscoveryOutage& outage, double forMs) {
  fault_ = outage.fault;
  downUntilMs_ = std::max(downUntilMs_, environment_.clock.nowMs() + forMs);
  endWatches(outage.openWatches);
  const bool unreachable =
      fault_ == DiscoveryFault::kRefused || fault_ == DiscoveryFault::kUnconnected;
  if (unreachable)
    stopListening();
  if (fault_ == DiscoveryFault::kUnconnected && !unanswered_)
    unanswered_ = std::make_unique<UnansweredAddress>(environment_.io, address_);
  environment_.after(downUntilMs_ - environment_.clock.nowMs(), [this] { recover(); });
}

// A silent watch stays open and is no longer written to.
void Agent::endWatches(OpenWatches watches) {
  listless_.clear();
  for (const auto& watch : std::exchange(watches_, {}))
    if (watches == OpenWatches::kClosed)
      watch->abortResponse();
}

void Agent::recover() {
  if (!down() || environment_.clock.nowMs() < downUntilMs_)
    return;
  const DiscoveryFault ended = std::exchange(fault_, DiscoveryFault::kNone);
  returnedMs_ = environment_.clock.nowMs();
  unanswered_.reset();
  if (!listeners_.back()->isOpen())
    listen();
  for (const auto& watch : std::exchange(listless_, {})) {
    watches_.erase(watch);
    watch->abortResponse();
  }
  const auto waiting = std::exchange(waiting_, {});
  if (ended == DiscoveryFault::kSilent)
    for (const auto& [connection, after] : waiting)
      serve(connection, after);
}

void Agent::retire() {
  fault_ = DiscoveryFault::kRefused;
  downUntilMs_ = HUGE_VAL;
  unanswered_.reset();
  stopListening();
  endWatches(OpenWatches::kClosed);
  for (const auto& [connection, after] : std::exchange(waiting_, {}))
    connection->abortResponse();
}

}  // namespace inference_router::soak
