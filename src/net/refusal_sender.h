/// Tells clients that they are refused, and why, before their request is read.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "admission/admission_controller.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/refused_connections.h"
#include "net/request_handler.h"
#include "net/spare_descriptor.h"

namespace inference_router::net {

/// Belongs to one listener and its thread.
class RefusalSender {
 public:
  RefusalSender(const RequestHandler& handler,
                const core::Clock& clock,
                core::TimerQueue& timers,
                core::Counters& counters,
                admission::DescriptorBudget* descriptorBudget)
      : handler_(handler), counters_(counters), pending_(clock, timers, descriptorBudget) {}

  /// By the admission controller's decision. The client gets time to read it if there is capacity.
  void refuse(boost::asio::ip::tcp::socket socket, const admission::Decision& decision);
  /// The listener is at its limit, and closes the connection right behind the answer.
  void refuseAtLimit(boost::asio::ip::tcp::socket& socket);
  /// Refuses clients that wait in the accept queue of a process without descriptors, so that none
  /// has to wait there. False once the queue is empty, or nobody can be taken out of it now.
  bool refuseWithSpareDescriptor(int listeningDescriptor);
  /// Clients that are still reading why.
  std::size_t pending() const { return pending_.size(); }

 private:
  bool refuseNextWithSpareDescriptor(int listeningDescriptor, const std::string& response);
  void sendRefusal(int descriptor, const std::string& response);
  void countTruncated();

  const RequestHandler& handler_;
  core::Counters& counters_;
  RefusedConnections pending_;
  SpareDescriptor spare_;  // given up for a moment when the system has no descriptor left
};

}  // namespace inference_router::net
