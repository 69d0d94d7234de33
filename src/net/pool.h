/// Connections to instances and other HTTP servers: bounded in number, kept alive between calls,
/// and retired well before the other side would close them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
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

/// Hands its connections to calls, one call on a connection at a time. Belongs to one thread, and
/// outlives its calls.
class ConnectionPool {
 public:
  struct Limits {
    std::size_t maxConnections;  ///< open at a time, idle ones counted
    double connectTimeoutMs;
    double maxIdleMs;                             ///< for which a connection is kept unused
    std::uint64_t maxResponseBytes = UINT64_MAX;  ///< of a body; also what a chunk may claim
  };

  ConnectionPool(boost::asio::io_context& io,
                 const core::Clock& clock,
                 core::TimerQueue& timers,
                 core::Counters& counters,
                 Limits limits);
  ~ConnectionPool();

  /// kFirst: goes ahead of all that wait for a connection, and may use the reserve.
  enum class Urgency { kNormal, kUrgent };
  /// Begins a call; it does not queue for a connection before afterMs of the clock. One that has
  /// not got a connection within the connect timeout is withdrawn: to whoever counts when it was
  /// sent, waiting here is the same as a connection attempt that hangs.
  std::shared_ptr<Call> call(const Endpoint& endpoint,
                             std::string head,
                             std::shared_ptr<const std::string> body,
                             std::shared_ptr<CallSink> sink,
                             Urgency urgency = Urgency::kNormal,
                             double afterMs = 0);
  /// Takes up what another process left off and owns the descriptor from now on, also if it cannot
  /// be used: nothing then. The call goes on with unpause().
  std::shared_ptr<Call> adopt(const Endpoint& endpoint,
                              const Call::TransferState& state,
                              std::shared_ptr<CallSink> sink);
  /// Closes the idle connections to this endpoint.
  void dropIdle(const Endpoint& endpoint);
  bool hasIdle(const Endpoint& endpoint) const;
  void setConnectTimeout(double ms) { limits_.connectTimeoutMs = ms; }
  /// Idle connections above the new limit close, busy ones finish their call first.
  void setMaxConnections(std::size_t connections);
  /// Where its descriptors are accounted for; what is open already is not.
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
  IdleConnections idle_;                       // the one idle longest first
  std::deque<std::shared_ptr<Call>> waiting_;  // the urgent ones first
  admission::DescriptorBudget* descriptorBudget_ = nullptr;
  admission::Account account_ = admission::Account::kInstances;
  std::function<void(const std::string&)> trace_;
  std::uint64_t createdConnections_ = 0;
  std::size_t openConnections_ = 0;
  bool serveScheduled_ = false;
};

}  // namespace inference_router::net
