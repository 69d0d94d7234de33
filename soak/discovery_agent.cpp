#include "discovery_agent.h"

#include <algorithm>
#include <charconv>
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

Agent::Agent(Environment& environment, const net::Endpoint& address, DiscoveryFault fault)
    : environment_(environment),
      address_(address),
      fault_(fault),
      listener_(environment.io,
                address,
                kConnections,
                *this,
                environment.clock,
                environment.timers,
                environment.counters,
                {.open = fault != DiscoveryFault::kRefused}) {
  beat();
}

void Agent::beat() {
  for (const auto& watch : watches_)
    watch->writeChunk("\n");
  environment_.after(kHeartbeatMs, [this] { beat(); });
}

void Agent::request(const std::shared_ptr<net::ClientConnection>& connection,
                    net::HttpRequest&& request,
                    double) {
  if (down_ || fault_ == DiscoveryFault::kSilent) {
    waiting_.insert(connection);
    return;
  }
  if (fault_ == DiscoveryFault::kErrors)
    return connection->answer(kUnavailable, {}, "");
  openWatch(connection, revisionAfter(std::string(request.target())));
}

// A caller that has this revision already gets changes alone, of which there are none yet.
void Agent::openWatch(const std::shared_ptr<net::ClientConnection>& connection,
                      std::uint64_t after) {
  const bool listIsLate = fault_ == DiscoveryFault::kEmptyLineFirst;
  connection->beginStream({});
  connection->writeChunk(listIsLate || after >= list_.revision ? "\n" : list_.complete);
  watches_.insert(connection);
  if (listIsLate && after < list_.revision)
    listless_.insert(connection);
}

void Agent::disconnected(net::ClientConnection& connection) {
  const auto is = [&](const auto& watch) { return watch.get() == &connection; };
  std::erase_if(watches_, is);
  std::erase_if(waiting_, is);
  std::erase_if(listless_, is);
}

void Agent::reject(net::ClientConnection& connection, unsigned status, std::string_view) {
  connection.answer(status, {}, "");
}

void Agent::list(ListText text) {
  list_ = std::move(text);
  if (list_.changes.empty())
    return;
  for (const auto& watch : watches_)
    if (listless_.count(watch) == 0)
      watch->writeChunk(list_.changes);
}

void Agent::down(double forMs) {
  down_ = true;
  downUntilMs_ = std::max(downUntilMs_, environment_.clock.nowMs() + forMs);
  listless_.clear();
  for (const auto& watch : std::exchange(watches_, {}))
    watch->abortResponse();
  environment_.after(forMs, [this] {
    if (environment_.clock.nowMs() < downUntilMs_)
      return;
    down_ = false;
    answerWaiting();
  });
}

void Agent::recover() {
  fault_ = DiscoveryFault::kNone;
  listener_.open();
  for (const auto& watch : std::exchange(listless_, {}))
    watch->abortResponse();
  answerWaiting();
}

void Agent::answerWaiting() {
  if (down_ || fault_ == DiscoveryFault::kSilent)
    return;
  for (const auto& connection : std::exchange(waiting_, {}))
    openWatch(connection, 0);
}

void Agent::retire() {
  listener_.drain(0, [] {});
  for (const auto& watch : std::exchange(watches_, {}))
    watch->abortResponse();
  for (const auto& connection : std::exchange(waiting_, {}))
    connection->abortResponse();
}

}  // namespace inference_router::soak
