/// Exports the counters by OTLP/HTTP with JSON bodies, at a fixed interval.
#pragma once

#include <memory>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"

namespace inference_router::app {

/// An ExportMetricsServiceRequest: each counter as a cumulative, monotonic sum. Times are
/// milliseconds since the Unix epoch.
std::string otlpMetrics(const core::Counters& counters,
                        const std::string& service,
                        double startUnixMs,
                        double nowUnixMs);

/// Belongs to the thread that runs the io_context. All references must outlive it.
class OtlpExporter {
 public:
  /// The first export takes place after one interval.
  OtlpExporter(boost::asio::io_context& io,
               const core::Clock& clock,
               core::TimerQueue& timers,
               core::Counters& counters,
               net::Endpoint collector,
               double intervalMs);

  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    pool_.accountTo(descriptorBudget, admission::Account::kTelemetry);
  }

 private:
  class Export;

  void scheduleNext();
  void exportNow();

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  core::Counters ownCounters_;  // of the exporter's own pool: exporting must not count as work
  net::ConnectionPool pool_;
  net::Endpoint collector_;
  double intervalMs_, startUnixMs_;
  std::shared_ptr<net::Call> call_;  // the last export; null before the first
  core::Timer timer_;
};

}  // namespace inference_router::app
