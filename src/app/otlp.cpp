#include "app/otlp.h"

#include <nlohmann/json.hpp>

#include "net/message.h"

namespace inference_router::app {

using nlohmann::json;

namespace {

constexpr double kDialMs = 1000;
constexpr int kCumulative = 2;  // AGGREGATION_TEMPORALITY_CUMULATIVE

// 64-bit numbers are strings in the JSON of protocol buffers. Milliseconds as double keep
// microseconds.
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

class OtlpExporter::Export final : public net::CallSink {
 public:
  explicit Export(core::Counters& counters) : counters_(counters) {}
  void head(const net::ResponseHead& head) override { good_ = head.result_int() / 100 == 2; }
  void done() override { ++counters_[good_ ? "otlp.exported" : "otlp.refused"]; }
  void failed(net::CallFailure) override { ++counters_["otlp.failed"]; }

 private:
  core::Counters& counters_;
  bool good_ = false;
};

OtlpExporter::OtlpExporter(boost::asio::io_context& io,
                           const core::Clock& clock,
                           core::TimerQueue& timers,
                           core::Counters& counters,
                           const net::Endpoint& collector,
                           double intervalMs)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      pool_(io, clock, timers, unseen_, {1, kDialMs, intervalMs * 2}),
      collector_(collector),
      intervalMs_(intervalMs),
      startUnixMs_(core::unixNowMs()) {
  timers_.add(clock_.nowMs() + intervalMs_, [this] { send(); });
}

void OtlpExporter::send() {
  if (call_)
    call_->abandon();
  const auto body = std::make_shared<const std::string>(
      otlpMetrics(counters_, "dahliastall", startUnixMs_, core::unixNowMs()));
  const std::string host =
      collector_.address().to_string() + ":" + std::to_string(collector_.port());
  call_ = pool_.call(collector_,
                     net::headText("POST /v1/metrics HTTP/1.1",
                                   {{"Host", host},
                                    {"Content-Type", "application/json"},
                                    {"Content-Length", std::to_string(body->size())}}),
                     body, std::make_shared<Export>(counters_));
  timers_.add(clock_.nowMs() + intervalMs_, [this] { send(); });
}

}  // namespace inference_router::app
