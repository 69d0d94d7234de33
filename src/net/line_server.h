/// A server for calls of one line: each connection carries one, gets one text, and is closed. Knows
/// no call.
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

/// Belongs to one thread.
class LineServer {
 public:
  struct Limits {
    std::size_t connections = 32;  ///< at a time; beyond it the oldest one closes
    std::size_t lineBytes = 1024;
    double callMs = 10'000;  ///< for the line to arrive, and for the answer to be taken
  };
  /// The line without its end to the text that goes back. A line over the limit is handed over cut,
  /// one byte longer than the limit, so that whoever answers can say so.
  using Handler = std::function<std::string(std::string_view line)>;
  /// The same where the answer comes later, once. A caller that is gone by then hears nothing.
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
  /// Where its descriptors are accounted for; those open already are not.
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
  std::list<std::shared_ptr<Session>> sessions_;  // in the order they came
  core::Timer acceptRetryTimer_;
  admission::DescriptorBudget* descriptorBudget_ = nullptr;
};

}  // namespace inference_router::net
