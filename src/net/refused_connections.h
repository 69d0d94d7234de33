/// Connections of refused clients that still read why: closing at once, with the request unread,
/// would reset the refusal out of their hands.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>

#include "admission/descriptor_budget.h"
#include "core/clock.h"
#include "core/timer_queue.h"

namespace inference_router::net {

/// Bounded in number and time. Belongs to one thread, and closes all as it is destroyed.
class RefusedConnections {
 public:
  /// descriptorBudget: none if descriptors are not accounted for.
  RefusedConnections(const core::Clock& clock,
                     core::TimerQueue& timers,
                     admission::DescriptorBudget* descriptorBudget)
      : clock_(clock), timers_(timers), descriptorBudget_(descriptorBudget) {}
  ~RefusedConnections();
  RefusedConnections(const RefusedConnections&) = delete;
  RefusedConnections& operator=(const RefusedConnections&) = delete;

  /// Takes a descriptor for one more from the budget; false if there is no capacity for it.
  bool reserve();
  /// After reserve(): keeps the connection until its client closes or its time is over. Ends the
  /// sending side.
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
