/// A server for one-line requests: each connection sends one line, gets one reply and is closed.
/// The meaning of the lines is up to the handler.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "admission/descriptor_budget.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"

namespace inference_router::net {

/// Confined to one thread.
class LineServer {
 public:
  struct Limits {
    std::size_t connections = 32;  ///< open at a time; beyond it the oldest is closed
    std::size_t lineBytes = 1024;
    double callMs = 10'000;  ///< time limit from connecting until the reply is sent
  };
  /// Returns the reply to a line, which is passed without its line end. A line over the limit is
  /// passed truncated to one byte more than the limit, so that the handler can detect it.
  using Handler = std::function<std::string(std::string_view line)>;
  /// Sends the reply of an asynchronous handler; call once. Ignored if the caller has disconnected.
  using ReplyCallback = std::function<void(std::string text)>;
  using AsyncHandler = std::function<void(std::string_view line, ReplyCallback reply)>;

  /// Throws boost::system::system_error if the address cannot be listened on.
  LineServer(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& address,
             AsyncHandler handler,
             const core::Clock& clock,
             core::TimerQueue& timers,
             core::Counters& counters,
             Limits limits);
  LineServer(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& address,
             Handler handler,
             const core::Clock& clock,
             core::TimerQueue& timers,
             core::Counters& counters,
             Limits limits)
      : LineServer(io,
                   address,
                   AsyncHandler([handler = std::move(handler)](std::string_view line,
                                                               const ReplyCallback& reply) {
                     reply(handler(line));
                   }),
                   clock,
                   timers,
                   counters,
                   limits) {}
  LineServer(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& address,
             Handler handler,
             const core::Clock& clock,
             core::TimerQueue& timers,
             core::Counters& counters)
      : LineServer(io, address, std::move(handler), clock, timers, counters, Limits{}) {}
  ~LineServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t size() const { return sessions_.size(); }
  /// Sets the budget that counts this server's descriptors; those already open are not counted.
  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    descriptorBudget_ = &descriptorBudget;
  }

 private:
  class Session;

  void accept();
  void acceptOne();
  void admit(int descriptor);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AsyncHandler handler_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  Limits limits_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
  core::Timer acceptRetryTimer_;
  admission::DescriptorBudget* descriptorBudget_ = nullptr;
};

}  // namespace inference_router::net
