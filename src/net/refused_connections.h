/// Connections of refused clients that are still reading the refusal. Closing at once, with the
/// request unread, would reset the connection, and the client could lose the refusal.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>

#include "admission/descriptor_budget.h"
#include "core/clock.h"
#include "core/timer_queue.h"

namespace inference_router::net {

/// Bounded in number and time. Confined to one thread. Closes all connections when destroyed.
class RefusedConnections {
 public:
  /// descriptorBudget: null if descriptors are not counted.
  RefusedConnections(const core::Clock& clock,
                     core::TimerQueue& timers,
                     admission::DescriptorBudget* descriptorBudget)
      : clock_(clock), timers_(timers), descriptorBudget_(descriptorBudget) {}
  ~RefusedConnections();
  RefusedConnections(const RefusedConnections&) = delete;
  RefusedConnections& operator=(const RefusedConnections&) = delete;

  /// Reserves capacity and a descriptor of the budget for one more connection; false if there is
  /// none.
  bool reserve();
  /// After reserve(): shuts down sending, and closes the connection once the client closes or the
  /// time limit is reached.
  void add(boost::asio::ip::tcp::socket socket);
  std::size_t size() const { return connections_.size(); }

 private:
  class RefusedConnection;

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  admission::DescriptorBudget* descriptorBudget_;
  std::set<std::shared_ptr<RefusedConnection>> connections_;
};

}  // namespace inference_router::net
