/// Accepts client connections up to a limit, and shuts down gracefully when the process exits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_controller.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/client_connection.h"
#include "net/open_connections.h"
#include "net/read_ahead_allowance.h"
#include "net/refusal_sender.h"
#include "net/socket_calls.h"

namespace inference_router::net {

/// Owns its connections. Confined to one thread. All constructor arguments outlive it.
class Listener final : public ClientConnection::Owner {
 public:
  struct Options {
    bool sharedPort = false;  ///< another process may listen on the same address at the same time
    bool open = true;         ///< listen at once; otherwise clients can connect only after open()
    /// Decides which clients may connect; null: all, up to the limit.
    admission::AdmissionController* admissionController = nullptr;
    /// Counts the descriptors of the process; null: they are not counted.
    admission::DescriptorBudget* descriptorBudget = nullptr;
    /// Of each connection.
    ConnectionLimits connectionLimits = {};
  };

  /// Throws boost::system::system_error if the address cannot be listened on.
  Listener(boost::asio::io_context& io,
           const boost::asio::ip::tcp::endpoint& address,
           std::size_t maxConnections,
           RequestHandler& handler,
           const core::Clock& clock,
           core::TimerQueue& timers,
           core::Counters& counters,
           Options options);
  Listener(boost::asio::io_context& io,
           const boost::asio::ip::tcp::endpoint& address,
           std::size_t maxConnections,
           RequestHandler& handler,
           const core::Clock& clock,
           core::TimerQueue& timers,
           core::Counters& counters)
      : Listener(io, address, maxConnections, handler, clock, timers, counters, Options{}) {}

  /// Starts to listen; no effect if already listening or after the end of a drain.
  void open();
  bool isOpen() const { return opened_ && !closed_; }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t size() const { return connections_.size(); }
  /// Number of refused clients that are still reading the refusal.
  std::size_t pendingRefusals() const { return refusals_.pending(); }

  /// evacuate() moves clients away, activate() takes them back. While evacuated, new connections
  /// are still served, every connection closes after its answer, and idle connections are closed
  /// once the front layer has stopped sending.
  void evacuate();
  void activate();
  bool evacuated() const { return evacuated_; }

  /// Evicts idle connections above the new limit; requests in progress are completed first.
  void setMaxConnections(std::size_t connections);
  /// Evicts connections that exceed changed admission rules.
  void close(const std::vector<admission::ConnectionId>& ids);

  /// Continues a connection whose stream another process began; null if the descriptor cannot be
  /// used.
  std::shared_ptr<ClientConnection> adopt(const ClientConnection::TransferState& state);

  /// Accepts and serves for acceptForMs more, then closes. done is called when all connections have
  /// closed.
  void drain(double acceptForMs, std::function<void()> done);

  /// Refuses all requests that have not arrived completely.
  void refuseIncompleteInput(std::string_view reason);

  // ---- ClientConnection::Owner ----

  void closed(const std::shared_ptr<ClientConnection>& connection) override;
  bool draining() const override { return closed_ || evacuated_; }
  bool hasWaitingClients() const override { return waitingSinceMs_.has_value(); }
  ConnectionLimits connectionLimits() const override { return connectionLimits_; }
  bool refuseOldestInput(ClientConnection& connection) override;
  void answerTruncated() override { ++counters_["answers.cut"]; }
  void requestStarted(ClientConnection& connection) override;
  void requestFinished(ClientConnection& connection) override;
  void identified(ClientConnection& connection, const std::string& keyName) override;

 private:
  void accept();
  void acceptReady();
  void acceptLater();
  void observeQueue();
  void refuseOverdueClients();
  void pauseAccepting(AcceptStatus status);
  bool hasCapacity() const;
  void admitDescriptor(int descriptor);
  void admitOrRefuse(boost::asio::ip::tcp::socket socket);
  void admit(boost::asio::ip::tcp::socket socket);
  std::shared_ptr<ClientConnection> addConnection(boost::asio::ip::tcp::socket socket,
                                                  admission::ConnectionId id);
  void serve(boost::asio::ip::tcp::socket socket, admission::ConnectionId id);
  void evictOne();
  void sweepIdle();
  void stopListening();
  bool emptyAcceptQueue();
  void finishIfDone();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp protocol_;
  std::size_t maxConnections_;
  RequestHandler& handler_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  admission::AdmissionController* admissionController_;
  admission::DescriptorBudget* descriptorBudget_;
  ConnectionLimits connectionLimits_;
  OpenConnections connections_;
  ReadAheadAllowance readAhead_;
  RefusalSender refusals_;
  core::Timer acceptTimer_, sweepTimer_;
  std::function<void()> onDrained_;
  std::optional<double> closeDeadlineMs_;  // even if the accept queue is not empty by then
  // Since when the accept queue has not been empty while there was no capacity.
  std::optional<double> waitingSinceMs_;
  bool opened_ = false;
  bool accepting_ = false;  // an accept or a retry delay is pending
  bool draining_ = false;
  bool closed_ = false;
  bool evacuated_ = false;
};

}  // namespace inference_router::net
