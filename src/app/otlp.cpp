#include "app/otlp.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "net/message.h"

namespace inference_router::app {

using nlohmann::json;

namespace {

constexpr double kConnectTimeoutMs = 1000;
constexpr std::size_t kMaxConnections = 1;
constexpr int kCumulative = 2;  // AGGREGATION_TEMPORALITY_CUMULATIVE

// A 64-bit number is a string in the JSON of protocol buffers. A double of milliseconds since the
// epoch is exact to the microsecond.
std::string nanos(double ms) {
  return std::to_string(static_cast<std::uint64_t>(ms * 1000) * 1000);
}

}  // namespace

std::string otlpMetrics(const core::Counters& counters,
                        const std::string& service,
                        double startUnixMs,
                        double nowUnixMs) {
  json metrics = json::array();
  for (const auto& [name, value] : counters.all()) {
    const json point{{"startTimeUnixNano", nanos(startUnixMs)},
                     {"timeUnixNano", nanos(nowUnixMs)},
                     {"asInt", std::to_string(value)}};
    metrics.push_back({{"name", "dahliastall." + name},
                       {"unit", "1"},
                       {"sum",
                        {{"aggregationTemporality", kCumulative},
                         {"isMonotonic", true},
                         {"dataPoints", json::array({point})}}}});
  }
  const json attribute{{"key", "service.name"}, {"value", {{"stringValue", service}}}};
  const json scope{{"scope", {{"name", "dahliastall"}}}, {"metrics", metrics}};
  const json resource{{"resource", {{"attributes", json::array({attribute})}}},
                      {"scopeMetrics", json::array({scope})}};
  return json{{"resourceMetrics", json::array({resource})}}.dump();
}

/// Counts the result of one export.
class OtlpExporter::Export final : public net::CallSink {
 public:
  explicit Export(core::Counters& counters) : counters_(counters) {}
  void head(const net::ResponseHead& head) override { accepted_ = head.result_int() / 100 == 2; }
  void done() override { ++counters_[accepted_ ? "otlp.exported" : "otlp.refused"]; }
  void failed(net::CallFailure) override { ++counters_["otlp.failed"]; }

 private:
  core::Counters& counters_;
  bool accepted_ = false;
};

OtlpExporter::OtlpExporter(boost::asio::io_context& io,
                           const core::Clock& clock,
                           core::TimerQueue& timers,
                           core::Counters& counters,
                           net::Endpoint collector,
                           double intervalMs)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      pool_(io, clock, timers, ownCounters_, {kMaxConnections, kConnectTimeoutMs, intervalMs * 2}),
      collector_(std::move(collector)),
      intervalMs_(intervalMs),
      startUnixMs_(core::unixNowMs()) {
  scheduleNext();
}

void OtlpExporter::scheduleNext() {
  timer_ = timers_.schedule(clock_.nowMs() + intervalMs_, [this] { exportNow(); });
}

// An export that is still under way is abandoned: cumulative sums say all that it would have said.
void OtlpExporter::exportNow() {
  if (call_)
    call_->abandon();
  const auto body = std::make_shared<const std::string>(
      otlpMetrics(counters_, "dahliastall", startUnixMs_, core::unixNowMs()));
  call_ = pool_.call(collector_,
                     net::headText("POST /v1/metrics HTTP/1.1",
                                   {{"Host", net::textOf(collector_)},
                                    {"Content-Type", "application/json"},
                                    {"Content-Length", std::to_string(body->size())}}),
                     body, std::make_shared<Export>(counters_));
  scheduleNext();
}

}  // namespace inference_router::app
