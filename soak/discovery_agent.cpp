#include "discovery_agent.h"

#include <utility>

namespace inference_router::soak {

namespace {

constexpr std::size_t kConnections = 4'000;
constexpr double kHeartbeatMs = 2'000;

}  // namespace

Agent::Agent(Environment& environment, const net::Endpoint& address)
    : environment_(environment),
      listener_(environment.io,
                address,
                kConnections,
                *this,
                environment.clock,
                environment.timers,
                environment.counters) {
  beat();
}

void Agent::beat() {
  for (const auto& watch : watches_)
    watch->writeChunk("\n");
  environment_.after(kHeartbeatMs, [this] { beat(); });
}

void Agent::request(const std::shared_ptr<net::ClientConnection>& connection,
                    net::HttpRequest&&,
                    double) {
  if (down_) {
    waiting_.insert(connection);
    return;
  }
  connection->beginStream({});
  connection->writeChunk(whole_);
  watches_.insert(connection);
}

void Agent::disconnected(net::ClientConnection& connection) {
  const auto is = [&](const auto& watch) { return watch.get() == &connection; };
  std::erase_if(watches_, is);
  std::erase_if(waiting_, is);
}

void Agent::reject(net::ClientConnection& connection, unsigned status, std::string_view) {
  connection.answer(status, {}, "");
}

void Agent::list(std::string complete, const std::string& changes) {
  whole_ = std::move(complete);
  if (changes.empty())
    return;
  for (const auto& watch : watches_)
    watch->writeChunk(changes);
}

void Agent::down(double forMs) {
  down_ = true;
  for (const auto& watch : std::exchange(watches_, {}))
    watch->abortResponse();
  environment_.after(forMs, [this] {
    down_ = false;
    for (const auto& connection : std::exchange(waiting_, {})) {
      connection->beginStream({});
      connection->writeChunk(whole_);
      watches_.insert(connection);
    }
  });
}

}  // namespace inference_router::soak
