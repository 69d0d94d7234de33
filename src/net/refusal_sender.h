/// Sends refusals with their reason to clients whose request has not been read.
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

/// Owned by one listener and confined to its thread.
class RefusalSender {
 public:
  RefusalSender(const RequestHandler& handler,
                const core::Clock& clock,
                core::TimerQueue& timers,
                core::Counters& counters,
                admission::DescriptorBudget* descriptorBudget)
      : handler_(handler), counters_(counters), pending_(clock, timers, descriptorBudget) {}

  /// Refuses by a decision of the admission controller. The client gets time to read the refusal if
  /// there is capacity for that.
  void refuse(boost::asio::ip::tcp::socket socket, const admission::Decision& decision);
  /// Refuses because the listener is at its limit. The client gets time to read the refusal if
  /// there is capacity for that.
  void refuseAtLimit(boost::asio::ip::tcp::socket socket);
  /// Refuses clients in the accept queue of a process without free descriptors, so that they need
  /// not wait there. Returns false once the queue is empty, or if no client can be accepted now.
  bool refuseWithSpareDescriptor(int listeningDescriptor);
  /// Number of clients that are still reading their refusal.
  std::size_t pending() const { return pending_.size(); }

 private:
  bool refuseNextWithSpareDescriptor(int listeningDescriptor, const std::string& response);
  bool sendAndLinger(boost::asio::ip::tcp::socket& socket, const std::string& response);
  void sendRefusal(int descriptor, const std::string& response);
  void countTruncated();

  const RequestHandler& handler_;
  core::Counters& counters_;
  RefusedConnections pending_;
  SpareDescriptor spare_;  // released briefly when no other descriptor is free
};

}  // namespace inference_router::net
