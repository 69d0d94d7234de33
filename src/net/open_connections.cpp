#include "net/open_connections.h"

#include <algorithm>

namespace inference_router::net {

void OpenConnections::add(const std::shared_ptr<ClientConnection>& connection) {
  if (connection->admissionId != 0)
    admitted_[connection->admissionId] = connection;
  connections_.insert(connection);
}

void OpenConnections::remove(const std::shared_ptr<ClientConnection>& connection) {
  connections_.erase(connection);
  admitted_.erase(connection->admissionId);
}

// HTTP allows closing between requests; a connection whose next request has arrived stays.
bool OpenConnections::evictOne() {
  std::vector<std::shared_ptr<ClientConnection>> candidates;
  for (const auto& connection : connections_)
    if (connection->evictability() != ClientConnection::Evictability::kNone)
      candidates.push_back(connection);
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return a->evictability() != b->evictability() ? a->evictability() > b->evictability()
                                                  : a->idleSinceMs() < b->idleSinceMs();
  });
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const auto& connection) { return connection->evictIfAllowed(); });
}

void OpenConnections::evict(const std::vector<admission::ConnectionId>& ids) {
  for (const admission::ConnectionId id : ids) {
    const auto it = admitted_.find(id);
    const auto connection = it == admitted_.end() ? nullptr : it->second.lock();
    if (connection)
      connection->evict();
  }
}

void OpenConnections::closeIdle() {
  for (const auto& connection : all())
    connection->closeIdle();
}

void OpenConnections::refuseIncompleteInput(std::string_view reason) {
  for (const auto& connection : all())
    connection->refuseIncompleteInput(reason);
}

// Requests that arrive at full speed are the youngest; those that stopped midway are the oldest.
bool OpenConnections::refuseOldestInput(const ClientConnection& connection) {
  std::shared_ptr<ClientConnection> oldest;
  for (const auto& candidate : connections_)
    if (candidate->isReadingLargeRequest() &&
        (!oldest || candidate->requestArrivedMs() < oldest->requestArrivedMs()))
      oldest = candidate;
  if (!oldest || oldest.get() == &connection)
    return false;
  oldest->refuseInputForMemory();
  return true;
}

}  // namespace inference_router::net
