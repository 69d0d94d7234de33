#include "app/shutdown_report.h"

#include <spdlog/spdlog.h>

namespace inference_router::app {

ShutdownReport::ShutdownReport(const core::RequestDispatcher& dispatcher,
                               const net::Listener& listener,
                               core::Counters& counters)
    : dispatcher_(dispatcher),
      listener_(listener),
      counters_(counters),
      countersAtStart_(counters.all()) {}

std::uint64_t ShutdownReport::since(const std::string& counter) const {
  const auto before = countersAtStart_.find(counter);
  return counters_[counter] - (before == countersAtStart_.end() ? 0 : before->second);
}

void ShutdownReport::log(std::string_view moment) const {
  const std::size_t streams = dispatcher_.streams().size();
  spdlog::info(
      "shutdown, {}: open are {} connections, {} requests without a stream, {} streams; since "
      "SIGTERM {} requests taken, {} served, {} refused, {} failed, {} broken, {} left by their "
      "clients, {} streams handed over",
      moment, listener_.size(), dispatcher_.openRequests() - streams, streams,
      since("requests.taken"), since("requests.served"), since("requests.refused"),
      since("requests.failed"), since("requests.broken"), since("requests.client_gone"),
      since("streams.handed_over"));
}

}  // namespace inference_router::app
