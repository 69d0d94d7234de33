/// Output of a client connection: bytes are written in order, one write at a time.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/memory_budget.h"
#include "core/timer_queue.h"

namespace inference_router::net {

/// Owned by the connection that owns the socket.
class OutputQueue {
 public:
  struct Callbacks {
    /// A write has finished or failed.
    std::function<void(const boost::system::error_code&)> onWritten;
    /// A write has not finished within the time limit.
    std::function<void()> onTimeout;
  };

  OutputQueue(boost::asio::ip::tcp::socket& socket,
              const core::Clock& clock,
              core::TimerQueue& timers,
              Callbacks callbacks,
              const core::MemoryBudget* memory)
      : socket_(socket),
        clock_(clock),
        timers_(timers),
        callbacks_(std::move(callbacks)),
        memory_(memory, core::MemoryUse::kAnswers) {}

  void append(std::string_view bytes);
  /// Starts to write the pending bytes, unless a write is in progress. owner: the connection, kept
  /// alive until the write has ended.
  void flush(const std::shared_ptr<void>& owner);
  bool isWriting() const { return isWriting_; }
  bool empty() const { return !isWriting_ && pending_.empty(); }
  /// Bytes that were appended and are not known to be written.
  std::size_t heldBytes() const { return pending_.size() + written_.size(); }
  void cancelTimer() { timer_.cancel(); }

 private:
  void releaseWritten();

  boost::asio::ip::tcp::socket& socket_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  Callbacks callbacks_;
  std::string pending_;
  std::string written_;  // bytes of the write in progress
  core::MemoryCharge memory_;
  core::Timer timer_;
  bool isWriting_ = false;
};

}  // namespace inference_router::net
