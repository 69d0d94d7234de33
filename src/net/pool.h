/// Connection pool for instances and other HTTP servers. Connections are limited in number, kept
/// alive between calls, and closed well before the peer's own idle timeout.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "admission/descriptor_budget.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/call.h"
#include "net/connection.h"
#include "net/endpoint.h"
#include "net/message.h"

namespace inference_router::net {

/// Assigns connections to calls, one call per connection at a time. Confined to one thread, and
/// outlives its calls.
class ConnectionPool {
 public:
  struct Limits {
    std::size_t maxConnections;  ///< open at a time, including idle ones
    double connectTimeoutMs;
    double maxIdleMs;  ///< before an unused connection is closed
    std::uint64_t maxResponseBytes =
        UINT64_MAX;  ///< of a body, and the largest announced chunk size
    /// Of each connection, as requested of the kernel; none: the kernel's own choice.
    std::optional<std::size_t> receiveBufferBytes = std::nullopt;
  };

  ConnectionPool(boost::asio::io_context& io,
                 const core::Clock& clock,
                 core::TimerQueue& timers,
                 core::Counters& counters,
                 Limits limits);
  ~ConnectionPool();

  /// kUrgent: is queued before all normal calls and may use the reserved connections.
  enum class Urgency { kNormal, kUrgent };
  /// Starts a call; it does not queue for a connection before the clock reaches afterMs. A call
  /// that gets no connection within the connect timeout is withdrawn: for its caller, waiting in
  /// the queue is the same as a connection attempt that hangs.
  std::shared_ptr<Call> call(const Endpoint& endpoint,
                             std::string head,
                             std::shared_ptr<const std::string> body,
                             std::shared_ptr<CallSink> sink,
                             Urgency urgency = Urgency::kNormal,
                             double afterMs = 0);
  /// Continues a response that another process began to read. Takes ownership of the descriptor,
  /// and returns null if it cannot be used. Reading starts with Call::unpause().
  std::shared_ptr<Call> adopt(const Endpoint& endpoint,
                              const Call::TransferState& state,
                              std::shared_ptr<CallSink> sink);
  /// Closes the idle connections to this endpoint.
  void dropIdle(const Endpoint& endpoint);
  bool hasIdle(const Endpoint& endpoint) const;
  void setConnectTimeout(double ms) { limits_.connectTimeoutMs = ms; }
  /// Closes idle connections above the new limit; busy ones finish their call first.
  void setMaxConnections(std::size_t connections);
  /// Sets the budget that counts this pool's descriptors; those already open are not counted.
  void accountTo(admission::DescriptorBudget& descriptorBudget, admission::Account account) {
    descriptorBudget_ = &descriptorBudget;
    account_ = account;
  }
  /// Called with a line for each call that is written, answered, failed or abandoned.
  void setTrace(std::function<void(const std::string&)> trace) { trace_ = std::move(trace); }
  std::size_t size() const { return openConnections_; }

 private:
  friend class Call;
  using IdleConnections = std::list<std::shared_ptr<Connection>>;

  void enqueue(const std::shared_ptr<Call>& call);
  bool tryStart(const std::shared_ptr<Call>& call);
  std::size_t reservedForUrgent() const;
  bool hasCapacity(Urgency urgency) const;
  std::shared_ptr<Connection> newConnection(const Endpoint& endpoint);
  std::shared_ptr<Connection> takeIdle(const Endpoint& endpoint);
  void release(const std::shared_ptr<Connection>& connection);
  void closeOldestIdle();
  void close(const std::shared_ptr<Connection>& connection);
  void serveWaiting();

  boost::asio::io_context& io_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  Limits limits_;
  IdleConnections idle_;                       // longest idle first
  std::deque<std::shared_ptr<Call>> waiting_;  // urgent calls first
  admission::DescriptorBudget* descriptorBudget_ = nullptr;
  admission::Account account_ = admission::Account::kInstances;
  std::function<void(const std::string&)> trace_;
  std::uint64_t createdConnections_ = 0;
  std::size_t openConnections_ = 0;
  bool serveScheduled_ = false;
};

}  // namespace inference_router::net
