// Accepts clients up to a cap, and closes the door in order when the program ends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "admission/admission_controller.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/client_connection.h"
#include "net/socket_calls.h"

namespace inference_router::net {

class Listener final : public ClientConnection::Owner {
 public:
  struct Options {
    bool sharedPort = false;  // another process may listen on the same address at the same time
    bool open = true;         // at once; else open() does it, and until then nobody can connect
    admission::AdmissionController* gate = nullptr;  // who may connect; none: whoever finds room
    admission::DescriptorBudget* descriptorBudget = nullptr;  // of the process's descriptors
  };

  // Throws boost::system::system_error if the address cannot be listened on.
  Listener(boost::asio::io_context& io,
           const boost::asio::ip::tcp::endpoint& address,
           std::size_t cap,
           RequestHandler& handler,
           const core::Clock& clock,
           core::TimerQueue& timers,
           core::Counters& counters,
           Options options);
  Listener(boost::asio::io_context& io,
           const boost::asio::ip::tcp::endpoint& address,
           std::size_t cap,
           RequestHandler& handler,
           const core::Clock& clock,
           core::TimerQueue& timers,
           core::Counters& counters)
      : Listener(io, address, cap, handler, clock, timers, counters, Options{}) {}

  ~Listener() override;

  void open();
  bool isOpen() const { return opened_ && !doorClosed_; }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Sends clients away and takes them back. Who still connects is served; every connection closes
  // after its answer, and the idle ones once the front layer has stopped sending.
  void evacuate();
  void activate();
  bool evacuated() const { return evacuated_; }

  // Another cap from now on; idle connections above it make room, open requests end first.
  void capAt(std::size_t cap);

  // A connection whose stream another process began; nothing if the descriptor cannot be used.
  std::shared_ptr<ClientConnection> adopt(const ClientConnection::TransferState& rest);

  // Goes on accepting and serving for so long, then closes; done is called when all clients are
  // gone.
  void drain(double doorOpenMs, std::function<void()> done);

  void closed(const std::shared_ptr<ClientConnection>& connection) override;
  void answerCut() override { ++counters_["answers.cut"]; }
  void asks(ClientConnection& connection) override;
  void rests(ClientConnection& connection) override;
  void identified(ClientConnection& connection, const std::string& who) override;
  // Closes those that a change of rules left no room for.
  void close(const std::vector<admission::ConnectionId>& visitors);
  std::size_t turningAway() const { return refusals_.size(); }
  bool draining() const override { return doorClosed_ || evacuated_; }
  std::size_t size() const { return connections_.size(); }

 private:
  void accept();
  void acceptSome();
  void pauseAccepting(AcceptStatus why);
  void admitDescriptor(int descriptor);
  bool hasRoom() const;
  bool holdSpare();
  void admit(boost::asio::ip::tcp::socket socket);
  void refuse(boost::asio::ip::tcp::socket socket, const admission::Decision& decision);
  bool turnAwayOnSpare();
  void letIn(boost::asio::ip::tcp::socket socket, admission::ConnectionId visitor);
  bool emptyQueue();
  void admitOrTurnAway(boost::asio::ip::tcp::socket socket);
  void sweepIdle();
  void makeRoom();
  void closeDoor();
  void finishIfDone();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp protocol_;
  std::size_t cap_;
  RequestHandler& handler_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  std::set<std::shared_ptr<ClientConnection>> connections_;
  std::function<void()> done_;
  admission::AdmissionController* gate_;
  admission::DescriptorBudget* descriptorBudget_;
  std::map<admission::ConnectionId, std::weak_ptr<ClientConnection>> visitors_;
  class Refusal;
  std::set<std::shared_ptr<Refusal>> refusals_;  // being read by their clients
  int spare_ = -1;  // given up for a moment when the system has no descriptor left
  std::optional<core::TimerQueue::Key> sweep_;
  std::optional<double> closesByMs_;  // whether or not its queue is empty by then
  bool opened_ = false, accepting_ = false, draining_ = false, doorClosed_ = false,
       evacuated_ = false;
};

}  // namespace inference_router::net
