// Exports the registry of counters by OTLP/HTTP with JSON bodies, at a fixed interval. Off unless
// asked for.
#pragma once

#include <memory>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"

namespace inference_router::app {

// An ExportMetricsServiceRequest: each counter as a cumulative, monotonic sum.
std::string otlpMetrics(const core::Counters& counters,
                        const std::string& service,
                        double startUnixMs,
                        double nowUnixMs);

class OtlpExporter {
 public:
  OtlpExporter(boost::asio::io_context& io,
               const core::Clock& clock,
               core::TimerQueue& timers,
               core::Counters& counters,
               const net::Endpoint& collector,
               double intervalMs);

  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    pool_.accountTo(descriptorBudget, admission::Account::kTelemetry);
  }

  // One export now; one that is still under way is given up for it, as sums say all there is to
  // say.
  void send();

 private:
  class Export;

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  core::Counters unseen_;  // of the exporter's own pool: exporting must not count as work
  net::ConnectionPool pool_;
  net::Endpoint collector_;
  double intervalMs_, startUnixMs_;
  std::shared_ptr<net::Call> call_;
};

}  // namespace inference_router::app
