#include "frontend/front.h"

#include <utility>

namespace inference_router::frontend {

Front::DispatchResult Front::dispatch(net::ClientConnection& connection,
                                      routing::Arrival arrival,
                                      double arrivedMs,
                                      std::shared_ptr<upstream::ForwardedRequest> payload,
                                      std::shared_ptr<core::ResponseWriter> responseWriter) {
  if (dispatcher_.isUnderWay(arrival.request))
    return DispatchResult::kIdInUse;
  if (dispatcher_.mayHaveRun(arrival)) {
    ++counters_["requests.returned"];
    return DispatchResult::kMayHaveRun;
  }
  if (!chargeMemory(*payload))
    return DispatchResult::kNoMemory;
  arrival.timeLeft -= core::toModule(clock_.nowMs() - arrivedMs);
  inFlight_[&connection] = {};  // before submit(), which may answer the request at once
  const auto key =
      dispatcher_.submit(std::move(arrival), std::move(payload), std::move(responseWriter));
  const auto it = inFlight_.find(&connection);
  if (!key)
    inFlight_.erase(it);
  else if (it != inFlight_.end())
    it->second = *key;
  return key ? DispatchResult::kSubmitted : DispatchResult::kIdInUse;
}

bool Front::chargeMemory(upstream::ForwardedRequest& payload) {
  const auto use =
      payload.isSmall() ? core::MemoryUse::kSmallRequests : core::MemoryUse::kLargeRequests;
  payload.memory = core::MemoryCharge(dispatcher_.memory(), use);
  if (payload.memory.tryResize(payload.neededBytes()))
    return true;
  ++counters_["memory.refused_requests"];
  return false;
}

void Front::answerReady(net::ClientConnection& connection) {
  const bool ready = !isReady_ || isReady_();
  connection.answer(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                    ready ? "ready\n" : "evacuated\n");
}

std::shared_ptr<net::ClientConnection> Front::connectionOf(core::RequestKey key) const {
  for (const auto& [connection, request] : inFlight_)
    if (request == key)
      return connection->shared_from_this();
  return nullptr;
}

void Front::releaseConnection(net::ClientConnection& connection) {
  inFlight_.erase(&connection);
  connection.release();
}

void Front::disconnected(net::ClientConnection& connection) {
  const auto it = inFlight_.find(&connection);
  if (it == inFlight_.end())
    return;
  const core::RequestKey key = it->second;
  inFlight_.erase(it);
  dispatcher_.clientDisconnected(key);
}

void Front::writable(net::ClientConnection& connection) {
  const auto it = inFlight_.find(&connection);
  if (it != inFlight_.end())
    dispatcher_.clientReady(it->second);
}

}  // namespace inference_router::frontend
