/// The open client connections of a listener, and the choice of those that make room for others.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "admission/admission_controller.h"
#include "net/client_connection.h"

namespace inference_router::net {

/// Confined to one thread. A function that closes connections may be called while others close.
class OpenConnections {
 public:
  std::size_t size() const { return connections_.size(); }
  bool empty() const { return connections_.empty(); }

  /// The connection's admissionId must have been set; 0: it was not admitted by a controller.
  void add(const std::shared_ptr<ClientConnection>& connection);
  void remove(const std::shared_ptr<ClientConnection>& connection);

  /// Evicts a connection that never sent a complete request, or else the one that has been idle
  /// longest. Returns false if none may be evicted.
  bool evictOne();
  /// Evicts connections by the ids of their admission. Ids that are not known are ignored.
  void evict(const std::vector<admission::ConnectionId>& ids);
  /// Closes the connections on which no request is in progress.
  void closeIdle();
  /// Refuses all requests that have not arrived completely.
  void refuseIncompleteInput(std::string_view reason);
  /// Refuses the large request that has been arriving longest. Returns false if there is none, or
  /// if it is that of `connection`.
  bool refuseOldestInput(const ClientConnection& connection);

 private:
  // A copy, as closing a connection removes it from the set.
  std::vector<std::shared_ptr<ClientConnection>> all() const {
    return {connections_.begin(), connections_.end()};
  }

  std::set<std::shared_ptr<ClientConnection>> connections_;
  std::map<admission::ConnectionId, std::weak_ptr<ClientConnection>> admitted_;
};

}  // namespace inference_router::net
