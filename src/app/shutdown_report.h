/// Logs what is open while a process ends, and what became of the requests that were.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "core/request_dispatcher.h"
#include "net/listener.h"

namespace inference_router::app {

/// Everything that it refers to must outlive it.
class ShutdownReport {
 public:
  /// Counts requests from here on.
  ShutdownReport(const core::RequestDispatcher& dispatcher,
                 const net::Listener& listener,
                 core::Counters& counters);

  /// Logs a line: when, what is open, and what became of requests since the construction.
  void log(std::string_view moment) const;

 private:
  std::uint64_t since(const std::string& counter) const;

  const core::RequestDispatcher& dispatcher_;
  const net::Listener& listener_;
  core::Counters& counters_;
  const std::map<std::string, std::uint64_t> countersAtStart_;
};

}  // namespace inference_router::app
